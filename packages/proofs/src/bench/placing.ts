/**
 * Benchmarks of placement: decision rate and latency, packing, cancellations.
 */
import {
  PlacementCore,
  asEpoch,
  asId,
  countFits,
  fits,
  seededRandom,
  subtractSizes,
  type JobId,
  type JobRecord,
  type PlacementEffect,
  type Profile,
  type ProfileName,
  type Random,
  type Size,
  type StartTask,
  type TaskId,
  type TaskView,
  type TeamName,
  type WorkerId,
  type ZoneId,
} from '@primrosewick/state';
import {plainProfile} from '../world/profiles.js';
import {quantile, round, type Table} from './report.js';

const ZONE = asId<ZoneId>('z');
const TOTAL: Size = {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0};
const TINY: Size = {cpuMillis: 1, memoryMb: 1, accelerators: 0};
const WAVE = 10_000;
const RUNNING_TASKS = 5000;
const MEASURED = 4000;
const WORKERS_PER_RACK = 8;

const profile = (kind: 'pack' | 'spread', checkpoint: boolean): Profile =>
  plainProfile('p', {
    placing: kind === 'pack' ? {kind} : {kind, over: 'rack'},
    stopping: {
      graceMs: 0,
      checkpoint,
      repeat: {kind: 'again', maxAttempts: 3, backoffMs: 100},
    },
  });

/** A placement core with simulated workers that start tasks immediately. */
export class BenchZone {
  readonly core: PlacementCore;
  readonly running = new Map<string, {order: StartTask; worker: number}>();
  private readonly seqs: number[];
  private jobs = 0;
  now = 0;

  constructor(
    readonly workers: number,
    private readonly size: Size = TOTAL,
  ) {
    this.core = new PlacementCore({
      epoch: asEpoch(1),
      startedAt: -100_000,
      limits: {announceMs: 1e12, taskLeaseMs: 1e12},
    });
    this.core.step({kind: 'barrier', now: 0, index: 0});
    this.seqs = new Array<number>(workers).fill(0);
    for (let i = 0; i < workers; i++) this.report(i, []);
  }

  /** Submits a job of one task; returns whether a task started. */
  submit(
    size: Size,
    priority = 4,
    kind: 'pack' | 'spread' = 'pack',
    checkpoint = false,
  ): boolean {
    this.jobs++;
    const job = this.makeJob(this.jobs, size, priority, kind, checkpoint);
    const {effects} = this.core.step({
      kind: 'job',
      now: this.now,
      job,
      index: this.jobs,
    });
    return this.take(effects) > 0;
  }

  /** Cancels a job; returns how many of its tasks ended immediately. */
  cancel(number: number): number {
    const job = {
      ...this.makeJob(number, TINY, 4, 'pack', false),
      state: 'cancelling' as const,
    };
    const {effects} = this.core.step({
      kind: 'job',
      now: this.now,
      job,
      index: this.jobs,
    });
    return effects.reduce(
      (sum, effect) =>
        sum + (effect.kind === 'finish' ? effect.ends.length : 0),
      0,
    );
  }

  private makeJob(
    number: number,
    size: Size,
    priority: number,
    kind: 'pack' | 'spread',
    checkpoint: boolean,
  ): JobRecord {
    return {
      id: asId<JobId>(`job-${number}`),
      spec: {
        team: asId<TeamName>('t'),
        profile: asId<ProfileName>('p'),
        taskCount: 1,
        gang: false,
        priority,
        size,
        command: 'run',
        runMs: 1000,
      },
      homeZone: ZONE,
      state: 'open',
      profile: profile(kind, checkpoint),
      acceptedAt: 0,
      acceptedIndex: number,
      started: [],
      ended: [],
    };
  }

  /**
   * Sends a report of worker `i` with its running tasks and the given ended
   * ones.
   */
  report(i: number, ended: readonly TaskView[]): void {
    const views = [...this.running.values()]
      .filter(({worker}) => worker === i)
      .map(({order}) => viewOf(order, 'running'));
    this.reportTasks(i, [...views, ...ended]);
  }

  /**
   * Ends a running task, if there is one with this key, and has its worker
   * report that.
   */
  end(key: string): void {
    const found = this.running.get(key);
    if (!found) return;
    this.running.delete(key);
    this.report(found.worker, [viewOf(found.order, 'ended')]);
  }

  private reportTasks(i: number, tasks: readonly TaskView[]): void {
    this.seqs[i]!++;
    const report = {
      worker: asId<WorkerId>(`w${i}`),
      rack: `r${Math.floor(i / WORKERS_PER_RACK)}`,
      address: `w${i}`,
      size: this.size,
      state: 'serving' as const,
      seq: this.seqs[i]!,
      fence: 0,
      epoch: asEpoch(1),
      tasks,
    };
    this.take(this.core.step({kind: 'report', now: this.now, report}).effects);
  }

  private take(effects: readonly PlacementEffect[]): number {
    let starts = 0;
    for (const effect of effects) {
      if (effect.kind !== 'start') continue;
      starts++;
      this.running.set(effect.order.task, {
        order: effect.order,
        worker: Number(effect.order.worker.slice(1)),
      });
    }
    return starts;
  }
}

const viewOf = (order: StartTask, state: 'running' | 'ended'): TaskView => ({
  task: order.task as TaskId,
  attempt: order.attempt,
  state,
  ...(state === 'ended' ? {outcome: 'succeeded' as const} : {}),
  usedCpuMillis: 0,
  usedMemoryMb: 0,
  size: order.size,
});

const drawSmall = (random: Random): Size => ({
  cpuMillis: random.nextInt(50, 150),
  memoryMb: random.nextInt(100, 600),
  accelerators: 0,
});

/** Measures rate and latency of placement decisions by number of workers. */
export const benchDecisions = (seed: number): Table => {
  const rows = [30, 490, 4900].map(workers => measureDecisions(workers, seed));
  return {
    heading: `Placement decisions with ${RUNNING_TASKS} tasks running (seed ${seed}, one core)`,
    columns: ['workers', 'starts a second', 'p50 ms', 'p99 ms', 'longest ms'],
    rows,
  };
};

const measureDecisions = (workers: number, seed: number): number[] => {
  const random = seededRandom(seed);
  const zone = new BenchZone(workers);
  for (let i = 0; i < RUNNING_TASKS; i++) zone.submit(drawSmall(random));
  const tookMs: number[] = [];
  for (let i = 0; i < MEASURED; i++) {
    const size = drawSmall(random);
    const before = performance.now();
    zone.submit(size, 4, i % 2 === 0 ? 'pack' : 'spread');
    tookMs.push(performance.now() - before);
    const oldest = zone.running.keys().next().value;
    if (oldest !== undefined) zone.end(oldest);
  }
  const totalMs = tookMs.reduce((sum, ms) => sum + ms, 0);
  return [
    workers,
    Math.round((1000 * MEASURED) / totalMs),
    round(quantile(tookMs, 0.5), 3),
    round(quantile(tookMs, 0.99), 3),
    round(Math.max(...tookMs), 2),
  ];
};

const drawMixed = (random: Random): Size => {
  const cores = [500, 1000, 2000, 4000, 8000, 16_000][random.nextInt(0, 5)]!;
  return {
    cpuMillis: cores,
    memoryMb: Math.ceil((cores / 1000) * random.nextInt(1000, 8000)),
    accelerators: 0,
  };
};

type Fit = (size: Size) => boolean;

/** A baseline policy that tracks the free resources of the workers itself. */
const baselineFit = (
  workers: number,
  choose: (able: readonly number[]) => number,
): {place: Fit; free: Size[]} => {
  const free = Array.from({length: workers}, () => TOTAL);
  const place = (size: Size): boolean => {
    const able = free.flatMap((room, i) => (fits(size, room) ? [i] : []));
    if (able.length === 0) return false;
    const chosen = choose(able);
    free[chosen] = subtractSizes(free[chosen]!, size);
    return true;
  };
  return {place, free};
};

const fillWith = (place: Fit, seed: number): number => {
  const random = seededRandom(seed);
  let filled = 0;
  for (;;) {
    const size = drawMixed(random);
    if (!place(size)) return filled;
    filled += size.cpuMillis;
  }
};

/**
 * Measures how much of the zone is filled before the first task finds no place.
 */
export const benchPacking = (seed: number): Table => {
  const workers = 30;
  const seeds = Array.from({length: 10}, (_none, i) => seed + i);
  const half: Size = {cpuMillis: 16_000, memoryMb: 65_536, accelerators: 0};
  const measure = (
    name: string,
    make: (s: number) => {place: Fit; free: () => Size[]},
  ): Array<string | number> => {
    const runs = seeds.map(s => {
      const {place, free} = make(s);
      const filled = fillWith(place, s) / (workers * TOTAL.cpuMillis);
      return {
        filled: 100 * filled,
        holes: free().reduce(
          (sum, room) => sum + Math.max(0, countFits(half, room)),
          0,
        ),
      };
    });
    const mean = (
      read: (run: {filled: number; holes: number}) => number,
    ): number => runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
    return [
      name,
      round(mean(run => run.filled)),
      round(Math.min(...runs.map(run => run.filled))),
      round(mean(run => run.holes)),
    ];
  };
  return {
    heading: `Packing of ${workers} workers, mean of ${seeds.length} seeds from ${seed}`,
    columns: [
      'policy',
      'processors filled before the first refusal, %',
      'lowest, %',
      'places left for half a worker',
    ],
    rows: [
      measure('pack (ours)', () => {
        const zone = new BenchZone(workers);
        return {
          place: size => zone.submit(size),
          free: () => zone.core.listWorkers().map(worker => worker.free),
        };
      }),
      measure('first fit', () => {
        const {place, free} = baselineFit(workers, able => able[0]!);
        return {place, free: () => free};
      }),
      measure('random', s => {
        const random = seededRandom(s + 99);
        const {place, free} = baselineFit(
          workers,
          able => able[random.nextInt(0, able.length - 1)]!,
        );
        return {place, free: () => free};
      }),
    ],
  };
};

/** Measures a burst of cancellations of jobs that wait in a full zone. */
export const benchCancel = (): Table => {
  const zone = new BenchZone(30);
  for (let i = 0; i < 30; i++) zone.submit(TOTAL);
  for (let i = 0; i < WAVE; i++) zone.submit(TINY);
  const tookMs: number[] = [];
  let ended = 0;
  for (let i = 0; i < WAVE; i++) {
    const before = performance.now();
    ended += zone.cancel(31 + i);
    tookMs.push(performance.now() - before);
  }
  const totalMs = tookMs.reduce((sum, ms) => sum + ms, 0);
  return {
    heading: `A wave of ${WAVE} cancellations at the zone's leader`,
    columns: ['cancelled', 'ended at once', 'p99 of one, ms', 'all, ms'],
    rows: [
      [WAVE, ended, round(quantile(tookMs, 0.99), 3), Math.round(totalMs)],
    ],
  };
};
