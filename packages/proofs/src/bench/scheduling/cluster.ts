/**
 * Simulated cluster that executes the plans of one scheduling policy on virtual
 * time.
 */
import {
  ENDING_SOON_MS,
  NO_RESOURCES,
  WorkflowDb,
  seededRandom,
  subtractResources,
  taskKey,
  type Bundle,
  type Plan,
  type PlanInput,
  type PlannedStart,
  type Random,
  type Resources,
  type RunOutcome,
  type TaskKey,
  type TaskRef,
  type WorkerId,
  type WorkerView,
  type WorkflowCommand,
} from '@primrosewick/state';
import {EventQueue} from '../../world/event_queue.js';
import {BenchAdviser} from './adviser.js';
import {generateArrivals, type Arrival, type LoadPattern} from './load.js';

/** Computes the plan of one scheduling pass. */
export type Policy = (input: PlanInput) => Plan;

/** Result of one workflow. */
export interface WorkflowOutcome {
  readonly arrival: Arrival;
  /**
   * Time from arrival to the start of its first task, in ms; undefined if none
   * started.
   */
  readonly waitMs: number | undefined;
  /**
   * Time from arrival to completion, in ms; undefined if it did not complete.
   */
  readonly doneMs: number | undefined;
}

/** Result of one simulation. */
export interface ClusterResult {
  readonly outcomes: readonly WorkflowOutcome[];
  /**
   * Fraction of the workers' CPU time during the load that went into completed
   * work.
   */
  readonly usedShare: number;
  /** Fraction of the work that was discarded or spent on restarts. */
  readonly lostShare: number;
  readonly stops: number;
}

interface Run {
  readonly task: TaskRef;
  readonly run: number;
  readonly worker: WorkerId;
  readonly room: Resources;
  /**
   * Start of the work; a gang starts to work when its last member has started.
   */
  workStartedAt: number | undefined;
  /** Work saved by earlier runs of the task, in ms. */
  readonly done: number;
  isOver: boolean;
}

const WORKER_RESOURCES: Resources = {
  cpuMillis: 32_000,
  memMb: 131_072,
  gpus: 0,
};
/** Delay between a change and the next pass, as in the scheduler, in ms. */
const PASS_DELAY_MS = 8;
/**
 * Time to commit a command to the log, and to deliver an order to a worker, in
 * ms.
 */
const COMMIT_MS = 14;
const ORDER_MS = 5;
/**
 * Longest time that a stop takes, and time of a restore from a checkpoint, in
 * ms.
 */
const MAX_STOP_MS = 900;
const RESTORE_MS = 250;
/**
 * Time after the end of the arrivals in which work may still complete, in ms.
 */
const DRAIN_MS = 30_000;
const POOL = 'pool';

/** Simulates a load pattern under a policy. */
export class BenchCluster {
  private readonly queue = new EventQueue();
  private readonly db = new WorkflowDb();
  private readonly random: Random;
  private readonly arrivals = new Map<string, Arrival>();
  private readonly startedAt = new Map<string, number>();
  private readonly doneAt = new Map<string, number>();
  private readonly runs = new Map<TaskKey, Run>();
  private readonly progress = new Map<TaskKey, number>();
  private readonly pending = new Map<TaskKey, WorkerId>();
  private readonly stopping = new Set<TaskKey>();
  private readonly adviser: BenchAdviser;
  private readonly liveWorkers = new Set<WorkerId>();
  private readonly endCounts = new Map<WorkerId, number>();
  private reserved: Plan['reserved'] = new Map();
  private isPassScheduled = false;
  private usefulCoreMs = 0;
  private lostCoreMs = 0;
  private stops = 0;

  constructor(
    private readonly pattern: LoadPattern,
    private readonly policy: Policy,
    seed: number,
  ) {
    this.random = seededRandom(seed);
    this.adviser = new BenchAdviser(this.queue, pattern.callerCount, () =>
      this.schedulePass(),
    );
    this.apply({kind: 'put_bundle', bundle: makeBundle(pattern)});
    for (let i = 0; i < pattern.workerCount; i++) this.addWorker(i);
    for (const arrival of generateArrivals(pattern, seededRandom(seed + 1)))
      this.queue.after(arrival.at, () => this.submit(arrival));
    for (const {at, count} of pattern.losses)
      this.queue.after(at, () => this.loseWorkers(count));
  }

  /** Runs the simulation to its end. */
  run(): ClusterResult {
    const {durationMs} = this.pattern;
    this.queue.advance(durationMs);
    const usedShare =
      this.usefulCoreMs /
      (this.pattern.workerCount * WORKER_RESOURCES.cpuMillis * durationMs);
    this.queue.advance(DRAIN_MS);
    return {
      outcomes: [...this.arrivals.values()].map(arrival => ({
        arrival,
        waitMs: msSince(this.startedAt.get(arrival.id), arrival.at),
        doneMs: msSince(this.doneAt.get(arrival.id), arrival.at),
      })),
      usedShare,
      lostShare: this.lostCoreMs / (this.lostCoreMs + this.usefulCoreMs),
      stops: this.stops,
    };
  }

  private apply(command: WorkflowCommand): void {
    this.db.apply(this.db.index + 1, command);
    this.schedulePass();
  }

  private addWorker(i: number): void {
    const worker = `w${i}` as WorkerId;
    this.liveWorkers.add(worker);
    this.apply({
      kind: 'put_worker',
      report: {
        worker,
        bornAt: 1,
        address: '10.0.0.1:1',
        pool: POOL as never,
        zone: 'z' as never,
        room: WORKER_RESOURCES,
        labels: [],
        isDraining: false,
        remainingMs: 0,
        sequence: 1,
      },
    });
  }

  private loseWorkers(count: number): void {
    for (const worker of [...this.liveWorkers].slice(0, count)) {
      this.liveWorkers.delete(worker);
      for (const [key, run] of this.runs) {
        if (run.worker !== worker) continue;
        run.isOver = true;
        this.runs.delete(key);
        this.stopping.delete(key);
        this.lostCoreMs += this.elapsedWorkMs(run) * run.room.cpuMillis;
      }
      this.apply({
        kind: 'remove_worker',
        life: {worker, bornAt: 1},
        runs: [],
      });
    }
  }

  private submit(arrival: Arrival): void {
    this.arrivals.set(arrival.id, arrival);
    this.queue.after(COMMIT_MS, () =>
      this.apply({
        kind: 'submit',
        id: arrival.id as never,
        queue: arrival.kind.name as never,
        spec: arrival.spec,
        at: arrival.at,
      }),
    );
  }

  private schedulePass(): void {
    if (this.isPassScheduled) return;
    this.isPassScheduled = true;
    this.queue.after(PASS_DELAY_MS, () => {
      this.isPassScheduled = false;
      this.runPass();
    });
  }

  private runsEndingOn(worker: WorkerId): ReadonlySet<TaskKey> {
    const keys = [...(this.db.workers.get(worker)?.active.keys() ?? [])];
    return new Set(
      keys.filter(
        key => (this.remainingMsOf(key) ?? Infinity) < ENDING_SOON_MS,
      ),
    );
  }

  private runPass(): void {
    const {starts, stops, advice, reserved} = this.policy({
      db: this.db,
      now: this.queue.now,
      wall: this.queue.now,
      workers: this.workerViews(),
      pending: this.pending,
      stopping: this.stopping,
      remainingMs: (_worker, key) => this.remainingMsOf(key),
      endsSoon: worker => this.runsEndingOn(worker),
      reserved: this.reserved,
      adviceOf: key => this.adviser.adviceOf(key),
      callerCount: this.pattern.callerCount,
    });
    this.reserved = reserved;
    for (const {step, workers} of advice)
      this.adviser.ask(step, workers, this.arrivals.get(step.workflow)!.kind);
    for (const {task} of stops) this.stop(task);
    for (const {task, worker} of starts)
      this.pending.set(taskKey(task), worker);
    if (starts.length === 0) return;
    this.queue.after(COMMIT_MS, () => {
      this.apply({kind: 'start_runs', starts});
      this.queue.after(ORDER_MS, () => starts.forEach(s => this.beginRun(s)));
    });
  }

  private workerViews(): Map<WorkerId, WorkerView> {
    const views = new Map<WorkerId, WorkerView>();
    for (const [worker, {report, active}] of this.db.workers) {
      let free = report.room;
      for (const {task} of active.values())
        free = subtractResources(free, this.resourcesOf(task));
      views.set(worker, {
        worker,
        bornAt: 1,
        pool: POOL,
        room: report.room,
        labels: new Set(),
        free,
        unreserved: report.room,
        kept: NO_RESOURCES,
        keptPriority: Number.POSITIVE_INFINITY,
        isUsable: true,
      });
    }
    for (const [key, worker] of this.pending) {
      const view = views.get(worker);
      const isRecorded = this.db.workers.get(worker)?.active.has(key);
      if (view && !isRecorded)
        view.free = subtractResources(
          view.free,
          this.resourcesOf(parseTaskKey(key)),
        );
    }
    return views;
  }

  private resourcesOf({workflow, step}: TaskRef): Resources {
    return this.arrivals.get(workflow)!.spec.steps[step]!.room;
  }

  private beginRun({task, run, worker}: PlannedStart): void {
    const key = taskKey(task);
    this.pending.delete(key);
    this.schedulePass();
    if (!this.liveWorkers.has(worker)) return;
    const started: Run = {
      task,
      run,
      worker,
      room: this.resourcesOf(task),
      workStartedAt: undefined,
      done: this.progress.get(key) ?? 0,
      isOver: false,
    };
    this.runs.set(key, started);
    if (!this.startedAt.has(task.workflow))
      this.startedAt.set(task.workflow, this.queue.now);
    const members = this.gangMembersOf(task);
    if (members.some(member => this.runs.get(member)?.run !== run)) return;
    for (const member of members) this.work(this.runs.get(member)!);
  }

  /** Keys of all tasks of the task's gang, or only its own if it has none. */
  private gangMembersOf(task: TaskRef): TaskKey[] {
    const step = this.arrivals.get(task.workflow)!.spec.steps[task.step]!;
    if (!step.isGang) return [taskKey(task)];
    return Array.from({length: step.taskCount}, (_, index) =>
      taskKey({...task, index}),
    );
  }

  private work(run: Run): void {
    run.workStartedAt = this.queue.now + (run.done > 0 ? RESTORE_MS : 0);
    if (run.done > 0) this.lostCoreMs += RESTORE_MS * run.room.cpuMillis;
    const remainingMs =
      run.workStartedAt - this.queue.now + this.neededMs(run.task) - run.done;
    this.queue.after(remainingMs, () => {
      if (run.isOver || this.stopping.has(taskKey(run.task))) return;
      this.usefulCoreMs += this.neededMs(run.task) * run.room.cpuMillis;
      this.end(run, 'done');
    });
  }

  private remainingMsOf(key: TaskKey): number | undefined {
    const run = this.runs.get(key);
    if (run?.workStartedAt === undefined) return undefined;
    return this.neededMs(run.task) - run.done - this.elapsedWorkMs(run);
  }

  private neededMs({workflow, step, index}: TaskRef): number {
    return this.arrivals.get(workflow)!.durations[step]![index]!;
  }

  private elapsedWorkMs(run: Run): number {
    if (run.workStartedAt === undefined) return 0;
    return Math.max(0, this.queue.now - run.workStartedAt);
  }

  private stop(task: TaskRef): void {
    const key = taskKey(task);
    const run = this.runs.get(key);
    if (!run || this.stopping.has(key)) return;
    this.stopping.add(key);
    this.stops++;
    const isCheckpointable = this.arrivals.get(task.workflow)!.spec.steps[
      task.step
    ]!.isCheckpointable;
    const workedMs = this.elapsedWorkMs(run);
    if (isCheckpointable) this.progress.set(key, run.done + workedMs);
    else this.lostCoreMs += workedMs * run.room.cpuMillis;
    this.queue.after(this.random.nextInt(50, MAX_STOP_MS), () => {
      if (!run.isOver) this.end(run, 'stopped');
    });
  }

  private end(run: Run, outcome: RunOutcome): void {
    run.isOver = true;
    const key = taskKey(run.task);
    this.runs.delete(key);
    this.queue.after(COMMIT_MS, () => {
      this.stopping.delete(key);
      const sequence = (this.endCounts.get(run.worker) ?? 0) + 1;
      this.endCounts.set(run.worker, sequence);
      this.apply({
        kind: 'end_runs',
        life: {worker: run.worker, bornAt: 1},
        ends: [
          {sequence, task: run.task, run: run.run, outcome, checkpoint: 'c'},
        ],
        at: this.queue.now,
      });
      const {workflow} = run.task;
      if (this.db.workflows.get(workflow)?.phase === 'done')
        this.doneAt.set(workflow, this.queue.now);
    });
  }
}

const msSince = (at: number | undefined, from: number): number | undefined =>
  at === undefined ? undefined : at - from;

const parseTaskKey = (key: TaskKey): TaskRef => {
  const [workflow, occurrence, step, index] = key.split('.');
  return {
    workflow: workflow as never,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
};

const makeBundle = ({kinds}: LoadPattern): Bundle =>
  ({
    version: 1,
    queues: kinds.map(kind => ({
      name: kind.name,
      host: 'host',
      prefix: `/${kind.name}/`,
      pool: POOL,
      priority: kind.priority,
      maxAttempts: 3,
      stretch: kind.stretch,
      objectiveMs: kind.objectiveMs,
      advice: kind.advice,
    })),
    pools: [{name: POOL}],
    limits: {},
    source: '{}',
  }) as never as Bundle;
