/** What tells that a worker crashed, from its silence and that of others. */
import {
  taskKey,
  type CrashEvidence,
  type TaskRef,
  type WorkerId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** Time after which an answer that is due is overdue, in ms. */
const OVERDUE_MS = 300;
/** Workers that fall silent within this time of each other do so together, in ms. */
const TOGETHER_MS = 50;

/** Monotonic times of a call that came to nothing, in ms. */
export interface FailedCall {
  readonly sentAt: number;
  /** When a sound worker would have answered at the latest. */
  readonly dueAt: number;
}

/** When a worker was last heard, and since when it is silent. */
export class Silence {
  /** Wall time of its last answer, in ms since 1970. */
  heardAt: number | undefined;
  /** Monotonic time of the first call without an answer since then, in ms. */
  since: number | undefined;
  /** Whether an answer was overdue before anything told that it is gone. */
  isDark = false;

  /** Whether it has answered, and no call has come to nothing since. */
  get isHeard(): boolean {
    return this.heardAt !== undefined && this.since === undefined;
  }

  /** Time since its last answer at a wall time, in ms; undefined without one. */
  heardAgoMs(wall: number): number | undefined {
    if (this.heardAt === undefined) return undefined;
    return Math.max(0, wall - this.heardAt);
  }

  /** Notes an answer that arrived at a wall time. */
  noteAnswer(wall: number): void {
    this.heardAt = wall;
    this.since = undefined;
    this.isDark = false;
  }

  /** Notes a call that came to nothing, at a monotonic time. */
  noteFailure(now: number, {sentAt, dueAt}: FailedCall): void {
    this.since ??= now;
    // Later calls tell nothing more about the moment of a crash.
    if (sentAt <= this.since && now > dueAt + OVERDUE_MS) this.isDark = true;
  }
}

/** What a channel knows of its worker. */
export interface SilentChannel {
  readonly silence: Silence;
  /** Starts without an answer so far. */
  readonly expectedStarts: ReadonlyArray<{readonly task: TaskRef}>;
  /** Those, and starts that came to nothing and that its lists have not settled. */
  readonly undeliveredStarts: ReadonlyArray<{readonly task: TaskRef}>;
}

/** Evidence of a worker's crash that is proved now. */
export const crashEvidenceOf = (
  worker: WorkerId,
  clock: Clock,
  channels: ReadonlyMap<WorkerId, SilentChannel>,
): CrashEvidence => {
  const channel = channels.get(worker);
  const own = channel?.silence;
  const togetherCount = [...channels].filter(
    ([other, {silence}]) => other !== worker && areTogether(own, silence),
  ).length;
  const heardAt = own?.heardAt;
  // What no call told of came unseen: another life has answered before that.
  const isUntold = heardAt !== undefined && own?.since === undefined;
  const isDark = own?.isDark === true || isUntold;
  const starts = isDark ? channel?.undeliveredStarts : channel?.expectedStarts;
  const inFlight = (starts ?? []).map(({task}) => taskKey(task));
  const at = clock.wall();
  return {
    at,
    togetherCount,
    ...(heardAt === undefined ? {} : {heardAt}),
    ...(inFlight.length === 0 ? {} : {inFlight}),
    ...(isDark && {isDark}),
  };
};

const areTogether = (own: Silence | undefined, other: Silence): boolean =>
  own?.since !== undefined &&
  other.since !== undefined &&
  Math.abs(own.since - other.since) <= TOGETHER_MS;
