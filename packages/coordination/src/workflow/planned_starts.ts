/** The gangs whose recorded starts are withheld. */
import {
  stepKey,
  type PlannedStart,
  type StepKey,
  type WorkerId,
  type WorkflowDb,
} from '@primrosewick/state';
import type {AdviceDispatcher} from './advice_dispatcher.js';
import type {WorkerChannel} from './worker_channel.js';

/** What decides whether a recorded start may still be sent. */
export interface StartConditions {
  readonly db: WorkflowDb;
  readonly channels: ReadonlyMap<WorkerId, WorkerChannel>;
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
  {channels, advice}: StartConditions,
  {task, worker, ticket}: PlannedStart,
): boolean => {
  const hasTicket =
    ticket === undefined || advice.ticketOf(task, worker) !== undefined;
  return hasTicket && channels.get(worker)?.isWithinRoom === true;
};
