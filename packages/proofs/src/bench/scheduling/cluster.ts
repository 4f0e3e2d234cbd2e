/**
 * Simulated cluster that executes the plans of one scheduling policy on virtual
 * time.
 */
import {
  ENDING_SOON_MS,
  WorkflowDb,
  decideAdmission,
  seededRandom,
  taskKey,
  viewWorkers,
  type Plan,
  type PlannedStart,
  type PlannedStop,
  type Random,
  type Resources,
  type RunOutcome,
  type TaskKey,
  type TaskRef,
  type WorkerId,
  type WorkerView,
  type WorkflowCommand,
  type WorkflowSpec,
} from '@primrosewick/state';
import {EventQueue} from '../../world/event_queue.js';
import {BenchAdviser} from './adviser.js';
import {IDLE_LEADER, paceOf, type LeaderPace} from './leader_pace.js';
import {generateArrivals, type Arrival, type LoadPattern} from './load.js';
import {WORKER_CPU_MILLIS, makeBundle, makeReport} from './setup.js';
import {StopCounter} from './stop_counter.js';
import type {ClusterResult, Knowledge, Policy} from './types.js';
import {uselessAfterMs} from './worth.js';

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
  /** Speed of its worker, or of the slowest of its gang. */
  speed: number;
  isOver: boolean;
}

/** Time to deliver an order to a worker, in ms. */
const ORDER_MS = 5;
/** Shortest time after which a refused client comes back, in ms. */
const MIN_RETRY_MS = 500;
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
/** Ends that a speed counts as which is known for sure. */
const CERTAIN_WEIGHT = 1e6;
const NO_KEYS: ReadonlySet<TaskKey> = new Set();

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
  private readonly pending = new Map<TaskKey, PlannedStart>();
  private readonly stopping = new Set<TaskKey>();
  private readonly adviser: BenchAdviser;
  private readonly liveWorkers = new Set<WorkerId>();
  private readonly endCounts = new Map<WorkerId, number>();
  private reserved: Plan['reserved'] = new Map();
  private preemptedAt: Plan['preemptedAt'] = new Map();
  private isPassScheduled = false;
  private usefulCoreMs = 0;
  private lostCoreMs = 0;
  private runCount = 0;
  private readonly stopCounter = new StopCounter();
  private readonly pace: LeaderPace;
  private readonly refused = new Set<string>();

  constructor(
    private readonly pattern: LoadPattern,
    private readonly policy: Policy,
    seed: number,
    private readonly knowledge: Knowledge = 'declared',
  ) {
    this.random = seededRandom(seed);
    this.pace = paceOf(pattern);
    this.adviser = new BenchAdviser(this.queue, pattern.callerCount, () =>
      this.schedulePass(),
    );
    this.apply({kind: 'put_bundle', bundle: makeBundle(pattern)});
    for (let i = 0; i < pattern.workerCount; i++) this.addWorker(i);
    if (knowledge === 'true') this.teachSpeeds();
    for (const arrival of generateArrivals(pattern, seededRandom(seed + 1)))
      this.queue.after(arrival.at, () => this.submit(arrival));
    for (const {at, count} of pattern.losses)
      this.queue.after(at, () => this.loseWorkers(count));
    for (const {at, durationMs} of pattern.outages ?? [])
      this.queue.after(at, () => this.loseLeader(durationMs));
  }

  /** Runs the simulation to its end. */
  run(): ClusterResult {
    const {durationMs} = this.pattern;
    this.queue.advance(durationMs);
    const usedShare =
      this.usefulCoreMs /
      (this.pattern.workerCount * WORKER_CPU_MILLIS * durationMs);
    this.queue.advance(this.pattern.drainMs ?? DRAIN_MS);
    return {
      outcomes: [...this.arrivals.values()].map(arrival => ({
        arrival,
        waitMs: msSince(this.startedAt.get(arrival.id), arrival.at),
        doneMs: msSince(this.doneAt.get(arrival.id), arrival.at),
      })),
      usedShare,
      lostShare: this.lostCoreMs / (this.lostCoreMs + this.usefulCoreMs),
      stops: this.stopCounter.figures(),
      runCount: this.runCount,
      refusedCount: this.refused.size,
    };
  }

  /** The next leader begins without advice and without reservations. */
  private loseLeader(durationMs: number): void {
    this.pace.freeze(this.queue.now + durationMs);
    this.adviser.forgetAll();
    this.reserved = new Map();
  }

  private afterCommit(run: () => void): void {
    this.queue.after(this.pace.commitDelay(this.queue.now), run);
  }

  private apply(command: WorkflowCommand): void {
    this.db.apply(this.db.index + 1, command);
    this.schedulePass();
  }

  private addWorker(i: number): void {
    const worker = `w${i}` as WorkerId;
    this.liveWorkers.add(worker);
    this.apply({kind: 'put_worker', report: makeReport(worker, this.pattern)});
  }

  private speedOf(worker: WorkerId): number {
    const speeds = this.pattern.workerSpeeds ?? [1];
    return speeds[Number(worker.slice(1)) % speeds.length]!;
  }

  private teachSpeeds(): void {
    this.db.estimates.speeds.restore({
      workers: [...this.liveWorkers].map(worker => {
        const log = Math.log(this.speedOf(worker));
        return [worker, 1, log, CERTAIN_WEIGHT, 0, 0];
      }),
      noise: 0,
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
    this.afterCommit(() => {
      if (this.pattern.hasAdmission && this.refuse(arrival)) return;
      this.apply({
        kind: 'submit',
        id: arrival.id as never,
        queue: arrival.kind.name as never,
        spec: this.declaredSpec(arrival),
        at: this.queue.now,
      });
    });
  }

  /** The specification as its client gives it, or with true times. */
  private declaredSpec({spec, durations}: Arrival): WorkflowSpec {
    if (this.knowledge !== 'true') return spec;
    const steps = spec.steps.map((step, i) => {
      const times = [...durations[i]!].sort((a, b) => a - b);
      return {...step, estimateMs: times[times.length >> 1]!};
    });
    return {...spec, steps};
  }

  /**
   * Refuses a workflow that would be useless when done; its client comes back
   * as long as it could still earn something.
   */
  private refuse(arrival: Arrival): boolean {
    const queue = this.db.queues.get(arrival.kind.name as never)!;
    const decision = decideAdmission(
      this.db,
      queue,
      this.declaredSpec(arrival),
    );
    this.refused.delete(arrival.id);
    if (decision.kind === 'admit') return false;
    this.refused.add(arrival.id);
    const waitMs = Math.max(MIN_RETRY_MS, decision.retryAfterMs);
    const lastAt = arrival.at + uselessAfterMs(arrival);
    if (this.queue.now + waitMs < lastAt)
      this.queue.after(waitMs, () => this.submit(arrival));
    return true;
  }

  private schedulePass(): void {
    if (this.isPassScheduled) return;
    this.isPassScheduled = true;
    this.queue.after(this.pace.passDelay(this.queue.now), () => {
      this.isPassScheduled = false;
      if (this.pace.isFrozen(this.queue.now)) this.schedulePass();
      else this.runPass();
    });
  }

  private runsEndingSoon(): Map<WorkerId, Set<TaskKey>> {
    const byWorker = new Map<WorkerId, Set<TaskKey>>();
    for (const [key, run] of this.runs) {
      if ((this.remainingMsOf(key) ?? Infinity) >= ENDING_SOON_MS) continue;
      const keys = byWorker.get(run.worker) ?? new Set();
      byWorker.set(run.worker, keys.add(key));
    }
    return byWorker;
  }

  private runPass(): void {
    const ending = this.runsEndingSoon();
    const decided = this.policy({
      db: this.db,
      now: this.queue.now,
      wall: this.queue.now,
      workers: this.workerViews(),
      pending: new Map(
        [...this.pending].map(([key, {worker}]) => [key, worker]),
      ),
      stopping: this.stopping,
      remainingMs: (_worker, key) => this.remainingMsOf(key),
      endsSoon: worker => ending.get(worker) ?? NO_KEYS,
      reserved: this.reserved,
      preemptedAt: this.preemptedAt,
      adviceOf: key => this.adviser.adviceOf(key),
      callerCount: this.pattern.callerCount,
    });
    this.reserved = decided.reserved;
    this.preemptedAt = decided.preemptedAt;
    for (const start of decided.starts)
      this.pending.set(taskKey(start.task), start);
    const tookMs = this.pace.notePass(this.queue.now, decided.waits.length);
    this.queue.after(tookMs, () => this.execute(decided));
  }

  /** Carries out the decisions of a pass at its end. */
  private execute({starts, stops, advice}: Plan): void {
    for (const {step, workers} of advice)
      this.adviser.ask(step, workers, this.arrivals.get(step.workflow)!.kind);
    for (const stop of stops) this.stop(stop);
    if (starts.length === 0) return;
    this.afterCommit(() => {
      const at = this.knowledge === 'learned' ? {at: this.queue.now} : {};
      this.apply({kind: 'start_runs', starts, ...at});
      this.queue.after(ORDER_MS, () => starts.forEach(s => this.beginRun(s)));
    });
  }

  private workerViews(): Map<WorkerId, WorkerView> {
    const starts = [...this.pending].map(
      ([key, {worker, run}]) => [worker, key, run] as const,
    );
    return viewWorkers(this.db, starts, () => true);
  }

  private resourcesOf({workflow, step}: TaskRef): Resources {
    return this.arrivals.get(workflow)!.spec.steps[step]!.room;
  }

  private beginRun(start: PlannedStart): void {
    const {task, run, worker} = start;
    const key = taskKey(task);
    this.pending.delete(key);
    this.schedulePass();
    if (!this.liveWorkers.has(worker)) return;
    this.runCount++;
    this.stopCounter.noteStart(start, this.queue.now);
    const started: Run = {
      task,
      run,
      worker,
      room: this.resourcesOf(task),
      workStartedAt: undefined,
      done: this.progress.get(key) ?? 0,
      speed: this.speedOf(worker),
      isOver: false,
    };
    this.runs.set(key, started);
    if (!this.startedAt.has(task.workflow))
      this.startedAt.set(task.workflow, this.queue.now);
    const members = this.gangMembersOf(task);
    if (members.some(member => this.runs.get(member)?.run !== run)) return;
    const runs = members.map(member => this.runs.get(member)!);
    const speed = Math.min(...runs.map(member => member.speed));
    for (const member of runs) {
      member.speed = speed;
      this.work(member);
    }
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
    run.workStartedAt = this.queue.now + (run.done > 0 ? this.restoreMs : 0);
    if (run.done > 0) this.lostCoreMs += this.restoreMs * run.room.cpuMillis;
    const remainingMs =
      run.workStartedAt -
      this.queue.now +
      (this.neededMs(run.task) - run.done) / run.speed;
    this.queue.after(remainingMs, () => {
      if (run.isOver || this.stopping.has(taskKey(run.task))) return;
      this.usefulCoreMs += this.neededMs(run.task) * run.room.cpuMillis;
      this.end(run, 'done');
    });
  }

  private remainingMsOf(key: TaskKey): number | undefined {
    const run = this.runs.get(key);
    if (run?.workStartedAt === undefined) return undefined;
    const leftMs = this.neededMs(run.task) - run.done;
    return leftMs / run.speed - this.elapsedWorkMs(run) / run.speed;
  }

  private get tellMs(): number {
    return (this.pattern.leader ?? IDLE_LEADER).tellMs;
  }

  private get restoreMs(): number {
    return this.pattern.restoreMs ?? RESTORE_MS;
  }

  private neededMs({workflow, step, index}: TaskRef): number {
    return this.arrivals.get(workflow)!.durations[step]![index]!;
  }

  private elapsedWorkMs(run: Run): number {
    if (run.workStartedAt === undefined) return 0;
    return run.speed * Math.max(0, this.queue.now - run.workStartedAt);
  }

  private stop(planned: PlannedStop): void {
    const {task} = planned;
    const key = taskKey(task);
    const run = this.runs.get(key);
    if (!run || run.run !== planned.run || this.stopping.has(key)) return;
    this.stopping.add(key);
    this.stopCounter.noteStop(planned, this.queue.now);
    const isCheckpointable = this.arrivals.get(task.workflow)!.spec.steps[
      task.step
    ]!.isCheckpointable;
    const workedMs = this.elapsedWorkMs(run);
    if (isCheckpointable) this.progress.set(key, run.done + workedMs);
    else this.lostCoreMs += workedMs * run.room.cpuMillis;
    const maxStopMs = this.pattern.maxStopMs ?? MAX_STOP_MS;
    this.queue.after(this.random.nextInt(50, maxStopMs), () => {
      if (!run.isOver) this.end(run, 'stopped');
    });
  }

  private end(run: Run, outcome: RunOutcome): void {
    run.isOver = true;
    const key = taskKey(run.task);
    this.runs.delete(key);
    this.afterCommit(() => {
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
        this.doneAt.set(workflow, this.queue.now + this.tellMs);
    });
  }
}

const msSince = (at: number | undefined, from: number): number | undefined =>
  at === undefined ? undefined : at - from;
