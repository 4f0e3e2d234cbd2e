import {reviverOf} from '../utils/image.js';
import type {Size} from '../documents/job.js';
import {fits} from './sizes.js';

/** Properties of a worker that the index uses. */
export interface IndexedWorker {
  readonly rack: string;
  readonly total: Size;
  /** Unreserved capacity of the worker. */
  free: Size;
}

const BUCKET_CPU_MILLIS = 1000;
const BUCKET_COUNT = 129;
const MAX_CANDIDATES = 32;

const bucketOf = (cpuMillis: number): number =>
  Math.max(
    0,
    Math.min(BUCKET_COUNT - 1, Math.floor(cpuMillis / BUCKET_CPU_MILLIS)),
  );

/**
 * Workers indexed by free CPU, so that a fitting one is found without a scan
 * of all workers. Workers with accelerators are indexed separately and get
 * tasks without accelerators only when no other worker fits.
 */
export class WorkerIndex<W extends IndexedWorker> {
  private readonly plain = new Buckets<W>();
  private readonly accelerated = new Buckets<W>();

  /** Adds a worker, or moves it after its free capacity has changed. */
  put(worker: W): void {
    this.bucketsOf(worker).put(worker);
  }

  /** Removes a worker. */
  remove(worker: W): void {
    this.bucketsOf(worker).remove(worker);
  }

  /**
   * @returns a worker on which the task leaves the least capacity, or
   * undefined.
   */
  findBestFit(size: Size, isAllowed: (worker: W) => boolean): W | undefined {
    const plain =
      size.accelerators === 0
        ? this.plain.findBestFit(size, isAllowed)
        : undefined;
    return plain ?? this.accelerated.findBestFit(size, isAllowed);
  }

  /**
   * @returns a worker with the most free memory among those in the bucket with
   * the most free CPU, or undefined.
   */
  findWorstFit(size: Size, isAllowed: (worker: W) => boolean): W | undefined {
    const plain =
      size.accelerators === 0
        ? this.plain.findWorstFit(size, isAllowed)
        : undefined;
    return plain ?? this.accelerated.findWorstFit(size, isAllowed);
  }

  private bucketsOf(worker: W): Buckets<W> {
    return worker.total.accelerators > 0 ? this.accelerated : this.plain;
  }
}

/** Larger of the fractions of CPU and memory that a task would leave free. */
const remainingFractionOf = (
  {free, total}: IndexedWorker,
  size: Size,
): number =>
  Math.max(
    (free.cpuMillis - size.cpuMillis) / total.cpuMillis,
    (free.memoryMb - size.memoryMb) / total.memoryMb,
  );

/** Workers of one kind, in buckets by free CPU. */
class Buckets<W extends IndexedWorker> {
  private readonly buckets = Array.from(
    {length: BUCKET_COUNT},
    () => new Set<W>(),
  );
  private readonly placeOf = new Map<W, number>();

  put(worker: W): void {
    const bucket = bucketOf(worker.free.cpuMillis);
    if (this.placeOf.get(worker) === bucket) return;
    this.remove(worker);
    this.placeOf.set(worker, bucket);
    this.buckets[bucket]?.add(worker);
  }

  remove(worker: W): void {
    const bucket = this.placeOf.get(worker);
    if (bucket === undefined) return;
    this.placeOf.delete(worker);
    this.buckets[bucket]?.delete(worker);
  }

  findBestFit(size: Size, isAllowed: (worker: W) => boolean): W | undefined {
    let best: W | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    let candidatesSeen = 0;
    for (
      let bucket = bucketOf(size.cpuMillis);
      bucket < BUCKET_COUNT && candidatesSeen < MAX_CANDIDATES;
      bucket++
    ) {
      for (const worker of this.buckets[bucket] ?? []) {
        if (!fits(size, worker.free) || !isAllowed(worker)) continue;
        const score = remainingFractionOf(worker, size);
        if (score < bestScore) [best, bestScore] = [worker, score];
        candidatesSeen++;
        if (candidatesSeen === MAX_CANDIDATES) break;
      }
    }
    return best;
  }

  findWorstFit(size: Size, isAllowed: (worker: W) => boolean): W | undefined {
    for (
      let bucket = BUCKET_COUNT - 1;
      bucket >= bucketOf(size.cpuMillis);
      bucket--
    ) {
      const found = this.findBestInBucket(
        bucket,
        size,
        isAllowed,
        (a, b) => b - a,
      );
      if (found) return found;
    }
    return undefined;
  }

  private findBestInBucket(
    bucket: number,
    size: Size,
    isAllowed: (worker: W) => boolean,
    compare: (a: number, b: number) => number,
  ): W | undefined {
    let best: W | undefined;
    let candidatesSeen = 0;
    for (const worker of this.buckets[bucket] ?? []) {
      if (!fits(size, worker.free) || !isAllowed(worker)) continue;
      const isBetter =
        !best || compare(worker.free.memoryMb, best.free.memoryMb) < 0;
      if (isBetter) best = worker;
      candidatesSeen++;
      if (candidatesSeen === MAX_CANDIDATES) break;
    }
    return best;
  }
}

const reviveBuckets = reviverOf(Buckets.prototype);

/** Restores an index from its deserialized state. */
export const reviveWorkerIndex = reviverOf(WorkerIndex.prototype, {
  plain: reviveBuckets,
  accelerated: reviveBuckets,
});
