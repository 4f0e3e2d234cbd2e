/**
 * Tells where the time from the acceptance of a workflow to its first running
 * task went. Each moment is noted once, as it happens; what did not happen, such
 * as a question to an adviser where a queue has none, takes no time.
 */
import type {WorkflowId} from '@primrosewick/state';

/** Moments on the way to a first start, in their order. */
const MOMENTS = [
  'accepted',
  /** Its adviser is to be asked. */
  'wanted',
  /** The call to the adviser leaves. */
  'asked',
  'advised',
  /** A pass has decided to start the task. */
  'planned',
  /** The start is in the log, and is ordered. */
  'recorded',
  /** The worker has answered. */
  'started',
] as const;

/** One moment. */
export type StartMoment = (typeof MOMENTS)[number];

/** Time until each moment from the one before it that was noted, in ms. */
export type StartStages = Readonly<Partial<Record<StartMoment, number>>>;

/** Workflows whose moments are remembered at once. */
const MAX_REMEMBERED = 5000;

/** Moments of the workflows that nothing runs of yet. */
export class StartTimeline {
  private readonly moments = new Map<WorkflowId, Map<StartMoment, number>>();

  /** Begins to note, at a monotonic time in ms. */
  begin(id: WorkflowId, now: number): void {
    if (this.moments.size >= MAX_REMEMBERED) this.moments.clear();
    this.moments.set(id, new Map([['accepted', now]]));
  }

  /** Notes the first time that a moment is reached. */
  note(id: WorkflowId, moment: StartMoment, now: number): void {
    const known = this.moments.get(id);
    if (known && !known.has(moment)) known.set(moment, now);
  }

  /** Forgets a workflow. */
  forget(id: WorkflowId): void {
    this.moments.delete(id);
  }

  /** @returns the stages of a workflow of which a first task runs; undefined later on. */
  finish(id: WorkflowId, now: number): StartStages | undefined {
    this.note(id, 'started', now);
    const known = this.moments.get(id);
    if (!known) return undefined;
    this.moments.delete(id);
    return stagesOf(known);
  }
}

const stagesOf = (known: ReadonlyMap<StartMoment, number>): StartStages => {
  const stages: Partial<Record<StartMoment, number>> = {};
  let last: number | undefined;
  for (const moment of MOMENTS) {
    const at = known.get(moment);
    if (at === undefined) continue;
    if (last !== undefined) stages[moment] = Math.max(0, Math.round(at - last));
    last = Math.max(at, last ?? at);
  }
  return stages;
};
