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
const WORKER_SIZE: Size = {
  cpuMillis: 32_000,
  memoryMb: 131_072,
  accelerators: 0,
};
const TINY_SIZE: Size = {cpuMillis: 1, memoryMb: 1, accelerators: 0};
const CANCELLATION_COUNT = 10_000;
const RUNNING_TASKS = 5000;
const MEASURED_COUNT = 4000;
const WORKERS_PER_RACK = 8;

const makeProfile = (kind: 'pack' | 'spread', checkpoint: boolean): Profile =>
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
  private readonly reportSeqs: number[];
  private jobs = 0;
  now = 0;

  constructor(
    readonly workers: number,
    private readonly size: Size = WORKER_SIZE,
  ) {
    this.core = new PlacementCore({
      epoch: asEpoch(1),
      startedAt: -100_000,
      limits: {announceMs: 1e12, taskLeaseMs: 1e12},
    });
    this.core.step({kind: 'barrier', now: 0, index: 0});
    this.reportSeqs = new Array<number>(workers).fill(0);
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
      ...this.makeJob(number, TINY_SIZE, 4, 'pack', false),
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
      profile: makeProfile(kind, checkpoint),
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
    const runningViews = [...this.running.values()]
      .filter(({worker}) => worker === i)
      .map(({order}) => makeTaskView(order, 'running'));
    this.reportTasks(i, [...runningViews, ...ended]);
  }

  /**
   * Ends a running task, if there is one with this key, and has its worker
   * report that.
   */
  end(key: string): void {
    const run = this.running.get(key);
    if (!run) return;
    this.running.delete(key);
    this.report(run.worker, [makeTaskView(run.order, 'ended')]);
  }

  private reportTasks(i: number, tasks: readonly TaskView[]): void {
    this.reportSeqs[i]!++;
    const report = {
      worker: asId<WorkerId>(`w${i}`),
      rack: `r${Math.floor(i / WORKERS_PER_RACK)}`,
      address: `w${i}`,
      size: this.size,
      state: 'serving' as const,
      seq: this.reportSeqs[i]!,
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

const makeTaskView = (
  order: StartTask,
  state: 'running' | 'ended',
): TaskView => ({
  task: order.task as TaskId,
  attempt: order.attempt,
  state,
  ...(state === 'ended' ? {outcome: 'succeeded' as const} : {}),
  usedCpuMillis: 0,
  usedMemoryMb: 0,
  size: order.size,
});

const drawSmallSize = (random: Random): Size => ({
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
  for (let i = 0; i < RUNNING_TASKS; i++) zone.submit(drawSmallSize(random));
  const tookMs: number[] = [];
  for (let i = 0; i < MEASURED_COUNT; i++) {
    const size = drawSmallSize(random);
    const before = performance.now();
    zone.submit(size, 4, i % 2 === 0 ? 'pack' : 'spread');
    tookMs.push(performance.now() - before);
    const oldest = zone.running.keys().next().value;
    if (oldest !== undefined) zone.end(oldest);
  }
  const totalMs = tookMs.reduce((sum, ms) => sum + ms, 0);
  return [
    workers,
    Math.round((1000 * MEASURED_COUNT) / totalMs),
    round(quantile(tookMs, 0.5), 3),
    round(quantile(tookMs, 0.99), 3),
    round(Math.max(...tookMs), 2),
  ];
};

const drawMixedSize = (random: Random): Size => {
  const cpuMillis = [500, 1000, 2000, 4000, 8000, 16_000][
    random.nextInt(0, 5)
  ]!;
  return {
    cpuMillis,
    memoryMb: Math.ceil((cpuMillis / 1000) * random.nextInt(1000, 8000)),
    accelerators: 0,
  };
};

type PlaceTask = (size: Size) => boolean;

/** A baseline policy that tracks the free resources of the workers itself. */
const makeBaseline = (
  workers: number,
  choose: (candidates: readonly number[]) => number,
): {place: PlaceTask; free: Size[]} => {
  const free = Array.from({length: workers}, () => WORKER_SIZE);
  const place = (size: Size): boolean => {
    const candidates = free.flatMap((room, i) => (fits(size, room) ? [i] : []));
    if (candidates.length === 0) return false;
    const chosen = choose(candidates);
    free[chosen] = subtractSizes(free[chosen]!, size);
    return true;
  };
  return {place, free};
};

const fillUntilRefused = (place: PlaceTask, seed: number): number => {
  const random = seededRandom(seed);
  let filledCpuMillis = 0;
  for (;;) {
    const size = drawMixedSize(random);
    if (!place(size)) return filledCpuMillis;
    filledCpuMillis += size.cpuMillis;
  }
};

/**
 * Measures how much of the zone is filled before the first task finds no place.
 */
export const benchPacking = (seed: number): Table => {
  const workers = 30;
  const seeds = Array.from({length: 10}, (_none, i) => seed + i);
  const halfWorker: Size = {
    cpuMillis: 16_000,
    memoryMb: 65_536,
    accelerators: 0,
  };
  const measure = (
    name: string,
    makePolicy: (s: number) => {place: PlaceTask; free: () => Size[]},
  ): Array<string | number> => {
    const runs = seeds.map(s => {
      const {place, free} = makePolicy(s);
      const filled =
        fillUntilRefused(place, s) / (workers * WORKER_SIZE.cpuMillis);
      return {
        filled: 100 * filled,
        halfWorkerPlaces: free().reduce(
          (sum, room) => sum + Math.max(0, countFits(halfWorker, room)),
          0,
        ),
      };
    });
    const mean = (
      read: (run: {filled: number; halfWorkerPlaces: number}) => number,
    ): number => runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
    return [
      name,
      round(mean(run => run.filled)),
      round(Math.min(...runs.map(run => run.filled))),
      round(mean(run => run.halfWorkerPlaces)),
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
        const {place, free} = makeBaseline(workers, able => able[0]!);
        return {place, free: () => free};
      }),
      measure('random', s => {
        const random = seededRandom(s + 99);
        const {place, free} = makeBaseline(
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
  for (let i = 0; i < 30; i++) zone.submit(WORKER_SIZE);
  for (let i = 0; i < CANCELLATION_COUNT; i++) zone.submit(TINY_SIZE);
  const tookMs: number[] = [];
  let ended = 0;
  for (let i = 0; i < CANCELLATION_COUNT; i++) {
    const before = performance.now();
    ended += zone.cancel(31 + i);
    tookMs.push(performance.now() - before);
  }
  const totalMs = tookMs.reduce((sum, ms) => sum + ms, 0);
  return {
    heading: `A wave of ${CANCELLATION_COUNT} cancellations at the zone's leader`,
    columns: ['cancelled', 'ended at once', 'p99 of one, ms', 'all, ms'],
    rows: [
      [
        CANCELLATION_COUNT,
        ended,
        round(quantile(tookMs, 0.99), 3),
        Math.round(totalMs),
      ],
    ],
  };
};
