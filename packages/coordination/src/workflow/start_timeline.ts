/**
 * Measures the stages from the acceptance of a workflow to its first running
 * task. Each moment is noted once, when it happens. A moment that does not
 * happen, such as a call to the adviser in a queue without one, is left out.
 */
import type {WorkflowId} from '@primrosewick/state';

/** Moments before the first start of a workflow, in their order. */
const MOMENTS = [
  'accepted',
  /** A call to the adviser is enqueued. */
  'wanted',
  /** The call to the adviser is sent. */
  'asked',
  'advised',
  /** A pass has decided to start the task. */
  'planned',
  /** The start is in the log, and is sent to the worker. */
  'recorded',
  /** The worker has accepted the start. */
  'started',
] as const;

/** A moment before the first start of a workflow. */
export type StartMoment = (typeof MOMENTS)[number];

/** Time to each moment from the previous one that was noted, in ms. */
export type StartStages = Readonly<Partial<Record<StartMoment, number>>>;

/** Maximum number of workflows whose moments are remembered. */
const MAX_REMEMBERED = 5000;

/** Tracks the moments of workflows without a first start. */
export class StartTimeline {
  private readonly moments = new Map<WorkflowId, Map<StartMoment, number>>();

  /** Starts tracking a workflow that is accepted at a monotonic time in ms. */
  begin(id: WorkflowId, now: number): void {
    if (this.moments.size >= MAX_REMEMBERED) this.moments.clear();
    this.moments.set(id, new Map([['accepted', now]]));
  }

  /** Notes a moment, at a monotonic time in ms; only its first time counts. */
  note(id: WorkflowId, moment: StartMoment, now: number): void {
    const known = this.moments.get(id);
    if (known && !known.has(moment)) known.set(moment, now);
  }

  /** Stops tracking a workflow. */
  forget(id: WorkflowId): void {
    this.moments.delete(id);
  }

  /** Notes a running task; @returns the stages for the first one, undefined for later ones. */
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
