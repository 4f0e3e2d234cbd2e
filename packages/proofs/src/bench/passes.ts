/**
 * Duration of one planner pass over waiting steps in a cluster whose workers
 * are full.
 */
import {ProgressTracker} from '@primrosewick/coordination';
import {
  ENDING_SOON_MS,
  RemainingTimes,
  WorkflowDb,
  decidePass,
  seededRandom,
  stepKey,
  taskKey,
  type Bundle,
  type Customer,
  type PassEvent,
  type Plan,
  type Random,
  type StepAdvice,
  type StepKey,
  type StepSpec,
  type TaskKey,
  type TaskRef,
  type Ticket,
  type WorkerId,
  type WorkflowId,
} from '@primrosewick/state';
import {testCustomer, testStep} from '@primrosewick/state/fixtures';
import {quantile, round, type Table} from './report.js';

const WORKER_COUNTS = [245, 380];
/** Customers to which the workflows belong in turn; 0 for none. */
const CUSTOMER_COUNTS = [0, 110];
const PASS_COUNT = 200;
const WARM_UP_PASSES = 50;
const NOW_MS = 100_000;
const RUNS_PER_WORKER = 20;
/** Tasks of each running workflow. */
const RUNNING_TASKS = 10;
/** Fraction of the workers that the adviser allows. */
const ALLOWED_SHARE = 0.35;
/**
 * Workers that the adviser has been asked about so far, by step in turn.
 * Infinity: all of them, with no advice call in flight.
 */
const ASKED_COUNTS = [36, 108, Number.POSITIVE_INFINITY];
const POOL = 'pool';
const ADVICE_TIMING = {baseMs: 90, perWorkerMs: 1, validMs: 2500};
const CPU_MILLIS = 1550;
/**
 * Interval between the two progress reports of a run, in ms. The first report
 * says 0 %, the second at most `MAX_PERCENT`.
 */
const OBSERVED_MS = 4000;
const MAX_PERCENT = 95;

/** Waiting steps of one queue. */
interface WaitingSteps {
  readonly queue: string;
  readonly steps: number;
  readonly tasks: number;
  readonly cpuMillis: number;
  readonly isGang: boolean;
}

const WAITING_STEPS: readonly WaitingSteps[] = [
  {queue: 'first', steps: 25, tasks: 2, cpuMillis: 2800, isGang: false},
  {queue: 'gangs', steps: 25, tasks: 11, cpuMillis: 9000, isGang: true},
  {queue: 'small', steps: 50, tasks: 10, cpuMillis: 2000, isGang: false},
];

const makeStep = (part: Partial<StepSpec>, cpuMillis: number): StepSpec =>
  testStep({
    room: {cpuMillis, memMb: 3 * cpuMillis, gpus: 0},
    estimateMs: 3000,
    ...part,
  });

/**
 * A cluster of full workers with 100 waiting steps and the progress reports of
 * all runs.
 */
class FullCluster {
  private readonly db = new WorkflowDb();
  private readonly trackers = new Map<WorkerId, ProgressTracker>();
  private readonly advice = new Map<StepKey, StepAdvice>();
  private readonly random: Random;
  private lastPlan: Pick<Plan, 'reserved'> = {reserved: new Map()};
  private stopping: readonly TaskKey[] = [];

  constructor(
    private readonly workerCount: number,
    private readonly customerCount: number,
    seed: number,
  ) {
    this.random = seededRandom(seed);
    this.apply({kind: 'put_bundle', bundle: makeBundle(customerCount)});
    for (let i = 0; i < workerCount; i++) this.addWorker(i);
    this.fillWorkers();
    for (const waiting of WAITING_STEPS) this.addWaitingSteps(waiting);
  }

  /**
   * Runs one planner pass; the runs that it stops are still stopping in the
   * next pass.
   */
  pass(): Plan {
    const times = new RemainingTimes({
      remainingMs: (worker, key) => this.remainingMs(worker, key),
      possiblyEndingRuns: worker =>
        this.trackers.get(worker)?.endingBefore(NOW_MS + ENDING_SOON_MS) ?? [],
    });
    const plan = decidePass(this.event(), {
      db: this.db,
      adviceOf: key => this.advice.get(key),
      remainingMs: (worker, key) => times.get(worker, key),
      endsSoon: worker => times.endsSoon(worker),
    });
    this.lastPlan = plan;
    this.stopping = [
      ...new Set([
        ...this.stopping,
        ...plan.stops.map(({task}) => taskKey(task)),
      ]),
    ];
    return plan;
  }

  private event(): PassEvent {
    return {
      kind: 'pass',
      now: NOW_MS,
      wall: NOW_MS,
      unusable: [],
      expected: [],
      heldBack: [],
      stopping: this.stopping,
      remaining: [],
      endingSoon: [],
      callerCount: 60,
      reserved: [...this.lastPlan.reserved].map(([step, workers]) => [
        step,
        [...workers],
      ]),
    };
  }

  private apply(command: Parameters<WorkflowDb['apply']>[1]): void {
    this.db.apply(this.db.index + 1, command);
  }

  private remainingMs(worker: WorkerId, key: TaskKey): number | undefined {
    const run = this.db.workers.get(worker)?.active.get(key)?.run;
    if (run === undefined) return undefined;
    return this.trackers.get(worker)?.remainingMs(key, run, NOW_MS);
  }

  private addWorker(i: number): void {
    this.apply({
      kind: 'put_worker',
      report: {
        worker: `w${i}` as WorkerId,
        bornAt: 1,
        address: '10.0.0.1:1',
        pool: POOL as never,
        zone: 'z' as never,
        room: {cpuMillis: 32_000, memMb: 131_072, gpus: 0},
        labels: [],
        isDraining: false,
        remainingMs: 0,
        sequence: 1,
      },
    });
  }

  /** Fills all workers with small tasks, some of which write checkpoints. */
  private fillWorkers(): void {
    const taskCount = RUNNING_TASKS;
    const total = (this.workerCount * RUNS_PER_WORKER) / taskCount;
    let placed = 0;
    for (let i = 0; i < total; i++) {
      const isCheckpointable = this.random.nextInt(0, 2) === 0;
      const step = makeStep({taskCount, isCheckpointable}, CPU_MILLIS);
      const id = this.submit(`run${i}`, 'small', step);
      for (let index = 0; index < taskCount; index++) {
        const worker = `w${placed++ % this.workerCount}` as WorkerId;
        const task = {workflow: id, occurrence: 0, step: 0, index};
        this.apply({
          kind: 'start_runs',
          starts: [{task, run: 1, worker, bornAt: 1}],
        });
      }
    }
    for (const [worker, {active}] of this.db.workers)
      this.trackers.set(worker, this.makeTracker([...active.values()]));
  }

  private makeTracker(
    runs: ReadonlyArray<{readonly task: TaskRef; readonly run: number}>,
  ): ProgressTracker {
    const tracker = new ProgressTracker();
    const makeReports = (percentOf: () => number) =>
      runs.map(run => ({
        ...run,
        percent: percentOf(),
        checkpoint: '',
        load: 0,
      }));
    tracker.note(
      makeReports(() => 0),
      NOW_MS - OBSERVED_MS,
    );
    tracker.note(
      makeReports(() => this.random.nextInt(1, MAX_PERCENT)),
      NOW_MS,
    );
    return tracker;
  }

  private addWaitingSteps(waiting: WaitingSteps): void {
    const {queue, steps, tasks, cpuMillis, isGang} = waiting;
    for (let i = 0; i < steps; i++) {
      const part = {taskCount: tasks, isGang, isCheckpointable: !isGang};
      const id = this.submit(`${queue}${i}`, queue, makeStep(part, cpuMillis));
      const key = stepKey({workflow: id, occurrence: 0, step: 0});
      this.advice.set(key, this.adviceOf(ASKED_COUNTS[i % 3]!));
    }
  }

  private submit(name: string, queue: string, step: StepSpec): WorkflowId {
    const id = name as WorkflowId;
    const customer = `c${this.db.workflows.size % this.customerCount}`;
    this.apply({
      kind: 'submit',
      id,
      queue: queue as never,
      spec: {
        payload: '',
        steps: [step],
        occurrences: 0,
        firstDueAt: 0,
        intervalMs: 0,
      },
      at: NOW_MS - 1000,
      ...(this.customerCount > 0 && {customer: customer as never}),
    });
    return id;
  }

  /** Makes advice about `askedCount` random workers, or about all of them. */
  private adviceOf(askedCount: number): StepAdvice {
    const workers = [...this.db.workers.keys()];
    const targetCount = Math.min(askedCount, workers.length);
    const asked = new Set<WorkerId>();
    while (asked.size < targetCount)
      asked.add(workers[this.random.nextInt(0, workers.length - 1)]!);
    const allowed = new Set(
      [...asked].filter(() => this.random.nextInt(0, 99) < 100 * ALLOWED_SHARE),
    );
    const ticket: Ticket = {bornAt: 1, text: 't', validUntil: NOW_MS + 2000};
    const tickets = new Map([...allowed].map(worker => [worker, ticket]));
    return {asked, allowed, tickets, isAsking: targetCount < workers.length};
  }
}

const makeBundle = (customerCount: number): Bundle =>
  ({
    version: 1,
    queues: WAITING_STEPS.map(({queue}, priority) => ({
      name: queue,
      host: 'host',
      prefix: `/${queue}/`,
      pool: POOL,
      priority,
      maxAttempts: 3,
      stretch: 3,
      objectiveMs: 3000,
      advice: ADVICE_TIMING,
    })),
    pools: [{name: POOL}],
    ...(customerCount > 0 && {customers: makeCustomers(customerCount)}),
    limits: {},
    source: '{}',
  }) as never as Bundle;

/** Customers with different weights and caps that they don't reach. */
const makeCustomers = (count: number): Customer[] =>
  Array.from({length: count}, (_, i) =>
    testCustomer(`c${i}`, {
      weight: 1 + (i % 7),
      cap: {cpuMillis: 10_000_000, memMb: 10_000_000, gpus: 0},
    }),
  );

const measurePasses = (
  workers: number,
  customers: number,
  seed: number,
): number[] => {
  const cluster = new FullCluster(workers, customers, seed);
  const firstPlan = cluster.pass();
  for (let i = 0; i < WARM_UP_PASSES; i++) cluster.pass();
  const tookMs: number[] = [];
  let lastPlan = firstPlan;
  for (let i = 0; i < PASS_COUNT; i++) {
    const before = performance.now();
    lastPlan = cluster.pass();
    tookMs.push(performance.now() - before);
  }
  return [
    workers,
    customers,
    round(quantile(tookMs, 0.05), 3),
    round(quantile(tookMs, 0.5), 3),
    round(quantile(tookMs, 0.99), 3),
    firstPlan.starts.length,
    firstPlan.stops.length,
    lastPlan.waits.length,
  ];
};

/** Measures planner passes with 100 waiting steps, by the number of workers. */
export const benchPlannerPasses = (seed: number): Table => ({
  heading: `Passes of the planner with 100 waiting steps (seed ${seed}, one core)`,
  columns: [
    'workers',
    'customers',
    'p5 ms',
    'p50 ms',
    'p99 ms',
    'starts, first pass',
    'stops, first pass',
    'waits, last pass',
  ],
  rows: WORKER_COUNTS.flatMap(workers =>
    CUSTOMER_COUNTS.map(customers => measurePasses(workers, customers, seed)),
  ),
});
