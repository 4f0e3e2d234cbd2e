/** What tells that a worker crashed, from its silence and that of others. */
import {
  taskKey,
  type CrashEvidence,
  type TaskRef,
  type WorkerId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** Workers that fall silent within this time of each other do so together, in ms. */
const TOGETHER_MS = 50;

/** When a worker was last heard, and since when it is silent. */
export class Silence {
  /** Wall time of its last answer, in ms since 1970. */
  heardAt: number | undefined;
  /** Monotonic time of the first call without an answer since then, in ms. */
  since: number | undefined;

  /** Time since its last answer at a wall time, in ms; undefined without one. */
  heardAgoMs(wall: number): number | undefined {
    if (this.heardAt === undefined) return undefined;
    return Math.max(0, wall - this.heardAt);
  }

  /** Notes an answer that arrived at a wall time. */
  noteAnswer(wall: number): void {
    this.heardAt = wall;
    this.since = undefined;
  }

  /** Notes a call that came to nothing, at a monotonic time. */
  noteFailure(now: number): void {
    this.since ??= now;
  }
}

/** What a channel knows of its worker. */
export interface SilentChannel {
  readonly silence: Silence;
  /** Starts without an answer so far. */
  readonly expectedStarts: ReadonlyArray<{readonly task: TaskRef}>;
}

/** Evidence of a worker's crash that is proved now. */
export const crashEvidenceOf = (
  worker: WorkerId,
  clock: Clock,
  channels: ReadonlyMap<WorkerId, SilentChannel>,
): CrashEvidence => {
  const own = channels.get(worker)?.silence;
  const togetherCount = [...channels].filter(
    ([other, {silence}]) => other !== worker && areTogether(own, silence),
  ).length;
  const heardAt = own?.heardAt;
  const starts = channels.get(worker)?.expectedStarts ?? [];
  const inFlight = starts.map(({task}) => taskKey(task));
  const at = clock.wall();
  return {
    at,
    togetherCount,
    ...(heardAt === undefined ? {} : {heardAt}),
    ...(inFlight.length === 0 ? {} : {inFlight}),
  };
};

const areTogether = (own: Silence | undefined, other: Silence): boolean =>
  own?.since !== undefined &&
  other.since !== undefined &&
  Math.abs(own.since - other.since) <= TOGETHER_MS;
