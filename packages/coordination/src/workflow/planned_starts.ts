/** What keeps recorded starts from being sent. */
import {
  isWithinRoom,
  stepKey,
  type PlannedStart,
  type StepKey,
  type WorkerId,
  type WorkflowDb,
} from '@primrosewick/state';
import type {AdviceDispatcher} from './advice_dispatcher.js';
import type {WorkerChannelOptions} from './worker_channel_options.js';

/** What decides whether a recorded start may still be sent. */
export interface StartConditions {
  readonly db: WorkflowDb;
  readonly channels: ReadonlyMap<WorkerId, unknown>;
  readonly advice: Pick<AdviceDispatcher, 'ticketOf'>;
}

/**
 * Gangs of which a recorded start must not be sent: the other members would
 * wait for it in vain.
 */
export const findWithheldGangs = (
  conditions: StartConditions,
  starts: readonly PlannedStart[],
): ReadonlySet<StepKey> => {
  const {open} = conditions.db;
  const members = starts.filter(
    ({task}) => open.get(task.workflow)?.spec.steps[task.step]?.isGang === true,
  );
  const withheld = members.filter(start => !mayBeSent(conditions, start));
  return new Set(withheld.map(({task}) => stepKey(task)));
};

/** Whether the ticket and the room of a start still hold. */
const mayBeSent = (
  {db, channels, advice}: StartConditions,
  {task, worker, bornAt, ticket}: PlannedStart,
): boolean => {
  const hasTicket =
    ticket === undefined || advice.ticketOf(task, worker) !== undefined;
  const state = db.findIncarnation({worker, bornAt});
  const isLeaving = state?.report.isLeaving === true;
  return hasTicket && !isLeaving && channels.has(worker) && isWithinRoom(state);
};

/** @returns why a recorded start must not be sent now, or undefined. */
export const findStartObstacle = ({
  db,
  life,
  mayOrder,
}: Pick<WorkerChannelOptions, 'db' | 'life' | 'mayOrder'>):
  string | undefined => {
  if (!mayOrder()) return 'the leadership is not confirmed';
  const state = db.findIncarnation(life);
  if (state?.report.isLeaving) return 'the worker leaves';
  return isWithinRoom(state) ? undefined : 'the room of the worker has shrunk';
};
