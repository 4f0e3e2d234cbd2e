/**
 * The scheduler's tasks on virtual time, with a fake log and simulated workers.
 */
import bunyan from 'bunyan';
import {
  SchedulerTask,
  WorkflowReplica,
  type WorkflowService,
} from '@primrosewick/coordination';
import {
  CellError,
  seededRandom,
  taskKey,
  type QueueName,
  type Random,
  type Resources,
  type StepSpec,
  type TaskKey,
  type TaskRef,
  type VmId,
  type WorkerId,
  type WorkflowCommand,
  type WorkflowId,
  type WorkflowResult,
  type WorkflowSpec,
} from '@primrosewick/state';
import {EventQueue} from '../world/event_queue.js';
import {SimProcess, VirtualClock} from '../world/process.js';
import {WorldJournals} from './world_journals.js';
import {BUNDLE, MAX_ATTEMPTS, type TestQueueName} from './cell_bundle.js';
import {GangRuns} from './gang_runs.js';
import {ForgedWords, type ForgedWord} from './forged_words.js';
import {makeLeaderService} from './leader_service.js';
import {WorkflowOracle} from './oracle.js';
import {SimAdviser} from './sim_adviser.js';
import {SimGoodbyes, type GoodbyeOptions} from './sim_goodbyes.js';
import {SimNetwork} from './sim_network.js';
import {SimOrders, type CallFaults} from './sim_orders.js';
import {SimReports} from './sim_reports.js';
import {SimWorker} from './sim_worker.js';
import {tasksOf} from './tasks_of.js';

/** Options of a world. */
export interface WorkflowWorldOptions {
  /** Maximum number of ends that one list of a worker holds. */
  readonly maxListedEnds: number;
  /** Duration of each run, in ms; drawn for each by default. */
  readonly runMs?: number;
}

const WORKER_COUNT = 5;
const MAX_LISTED_ENDS = 500;
const WORKER_RESOURCES = {cpuMillis: 4000, memMb: 4000, gpus: 0};
const MAX_LEASE_MS = 8000;
const ANNOUNCE_MS = 1000;
const MAX_STALE_LEADER_MS = 1400;
/** Time after which an unaware old leader learns that another leads, in ms. */
const AWARE_AFTER_MS = 4 * MAX_STALE_LEADER_MS;
const SETTLE_MS = 120_000;
/** Expected time of a call that is short enough to be made early, in ms. */
const SHORT_CALL = {baseMs: 10, perWorkerMs: 1};
/** Bounds of the time that a worker is down after a crash by a task, in ms. */
const CRASHED_FOR_MS = [2500, 4000] as const;

const logger = bunyan.createLogger({name: 'proof', level: 'fatal' as never});

/** One leadership; the log accepts proposals of the latest term only. */
interface Leadership {
  readonly term: number;
  /** When a majority last confirmed it; not set while it leads. */
  lastConfirmedAt?: number;
  readonly scheduler: SchedulerTask;
  readonly service: WorkflowService;
  readonly process: SimProcess;
}

/** A cell of one leader at a time and a few workers. */
export class WorkflowWorld {
  readonly queue = new EventQueue();
  readonly oracle: WorkflowOracle;
  private readonly replica = new WorkflowReplica();
  private readonly workers: SimWorker[] = [];
  private readonly adviser: SimAdviser;
  private readonly network: SimNetwork;
  private readonly goodbyes: SimGoodbyes;
  private readonly forgedWords: ForgedWords;
  private readonly random: Random;
  private readonly specs = new Map<string, WorkflowSpec>();
  /** Tasks that crash each worker that starts them. */
  private readonly deadly = new Set<TaskKey>();
  private faults: CallFaults = {lossPercent: 0, latePercent: 0};
  private leadership: Leadership | undefined;
  private readonly journals = new WorldJournals();
  private term = 0;
  private readonly reports: SimReports;

  constructor(
    seed: number,
    {
      maxListedEnds = MAX_LISTED_ENDS,
      runMs,
    }: Partial<WorkflowWorldOptions> = {},
  ) {
    this.random = seededRandom(seed);
    const {queue, random, workers} = this;
    const service = () => this.leadership?.service;
    const faults = () => this.faults;
    this.oracle = new WorkflowOracle(id => this.specs.get(id));
    this.adviser = new SimAdviser({queue, random, workers});
    this.network = new SimNetwork({queue, workers});
    this.reports = new SimReports({
      queue,
      random,
      clock: this.clockOf(new SimProcess()),
      logger,
      pool: BUNDLE.pools[0]!.name,
      faults,
      service,
    });
    this.forgedWords = new ForgedWords({
      queue,
      random,
      workers,
      reports: this.reports,
      service,
    });
    this.goodbyes = new SimGoodbyes({
      queue,
      random,
      network: this.network,
      faults,
      service,
    });
    const gangs = new GangRuns(this.queue);
    for (let i = 0; i < WORKER_COUNT; i++)
      this.workers.push(
        new SimWorker({
          id: `w${i}` as WorkerId,
          address: `10.0.0.${i + 1}:1`,
          rack: `r${i % 2}`,
          queue,
          oracle: this.oracle,
          gangs,
          room: WORKER_RESOURCES,
          maxListedEnds,
          rate: 1 - this.random.nextInt(0, 20) / 1000,
          stepOf: task => this.stepOf(task),
          needsTicket: ({workflow}) =>
            this.replica.db.workflows.get(workflow)?.queue === 'advised',
          drawRun: task => ({
            runMs: runMs ?? random.nextInt(20, 3000),
            fails: this.random.nextInt(0, 19) === 0,
            ...(this.deadly.has(taskKey(task)) && {
              crashesForMs: this.random.nextInt(...CRASHED_FOR_MS),
            }),
          }),
        }),
      );
  }

  /**
   * Applies a bundle, elects the first leader and starts the announcements of
   * workers.
   */
  async start(): Promise<void> {
    this.commit({kind: 'put_bundle', bundle: BUNDLE});
    this.changeLeader(false);
    this.reports.start();
    this.scheduleAnnouncements();
    await this.advance(200);
  }

  /** Advances virtual time and checks for contradictions. */
  async advance(ms: number): Promise<void> {
    await this.queue.advanceAsync(ms);
    this.oracle.check();
  }

  /** Submits a workflow. */
  submit(spec: WorkflowSpec, queue: TestQueueName = 'urgent'): void {
    const id = `f${this.specs.size}` as WorkflowId;
    this.specs.set(id, spec);
    const at = this.clockOf(new SimProcess()).wall();
    this.commit({
      kind: 'submit',
      id,
      queue: queue as QueueName,
      spec,
      at,
    });
  }

  /**
   * Submits a workflow about which the leader asks the adviser before it is
   * recorded; `isRepeated` means that a first attempt to record it fails.
   */
  submitEarly(
    spec: WorkflowSpec,
    name: TestQueueName,
    isRepeated: boolean,
  ): void {
    const id = `f${this.specs.size}` as WorkflowId;
    const scheduler = this.leadership?.scheduler;
    const known = this.replica.db.queues.get(name as QueueName);
    if (!known?.advice) return this.submit(spec, name);
    const queue = {...known, advice: {...known.advice, ...SHORT_CALL}};
    scheduler?.noteSubmission({id, queue, spec});
    if (isRepeated) scheduler?.noteUnrecorded(id);
    this.submit(spec, name);
  }

  /** Submits a workflow with a task that crashes each worker that starts it. */
  submitDeadly(
    spec: WorkflowSpec,
    queue: TestQueueName,
    at: {readonly step: number; readonly index: number},
  ): void {
    const workflow = `f${this.specs.size}` as WorkflowId;
    this.deadly.add(taskKey({workflow, occurrence: 0, ...at}));
    this.submit(spec, queue);
  }

  /** Cancels a workflow. */
  cancel(index: number): void {
    const id = `f${index % Math.max(1, this.specs.size)}` as WorkflowId;
    this.commit({kind: 'cancel', id, at: 1});
  }

  /**
   * Replaces the leader; an unaware old leader continues to send orders for a
   * while.
   */
  changeLeader(isUnaware: boolean): void {
    const before = this.leadership;
    if (before) before.lastConfirmedAt = this.queue.now;
    if (before && isUnaware)
      this.queue.after(AWARE_AFTER_MS, () => before.scheduler.close());
    else before?.scheduler.close();
    this.term++;
    const {term} = this;
    const process = new SimProcess();
    const clock = this.clockOf(process);
    const scheduler = new SchedulerTask({
      replica: this.replica,
      clock,
      logger,
      orders: this.orders(),
      workerLimits: {maxLeaseMs: MAX_LEASE_MS, announceMs: ANNOUNCE_MS},
      term,
      maxStaleLeaderMs: MAX_STALE_LEADER_MS,
      leadershipConfirmedAgeMs: () =>
        clock.now() - (leadership.lastConfirmedAt ?? clock.now()),
      propose: command => this.propose(term, command),
      callers: () => ['vm' as VmId],
      ask: (_vm, step, workers) => this.adviser.ask(step, workers),
      recorder: this.journals.begin(clock),
    });
    const service = makeLeaderService({
      replica: this.replica,
      clock,
      logger,
      scheduler,
      isLeading: () => term === this.term,
      propose: command => this.propose(term, command),
    });
    const leadership: Leadership = {term, scheduler, service, process};
    this.leadership = leadership;
    scheduler.start();
  }

  setFaults(faults: CallFaults): void {
    this.faults = faults;
  }

  crashWorker(index: number): void {
    this.workerAt(index).crashByChance();
  }

  restartWorker(index: number): void {
    this.workerAt(index).restart();
  }

  cutWorker(index: number): void {
    this.network.cutOff(this.workerAt(index));
  }

  /** Nothing goes in or out of a worker for a while. */
  muteWorker(index: number, ms: number): void {
    this.network.mute(this.workerAt(index), ms);
  }

  /** A worker deregisters, and ends a while later. */
  leave(index: number, options: GoodbyeOptions): void {
    this.goodbyes.begin(this.workerAt(index), options);
  }

  /** Another writer says something in the name of a worker. */
  forge(index: number, word: ForgedWord): void {
    this.forgedWords.write(this.workerAt(index), word);
  }

  /** Number of runs on a worker. */
  runCountOn(index: number): number {
    return this.oracle.runCountOn(this.workerAt(index).id);
  }

  /** Crashes all workers of a rack at once; they restart after a while. */
  crashRack(index: number, downMs: number): void {
    const rack = this.workers.filter((_, i) => i % 2 === index % 2);
    for (const worker of rack) worker.crash();
    this.queue.after(downMs, () => rack.forEach(worker => worker.restart()));
  }

  drainWorker(index: number): void {
    this.workerAt(index).isDraining = true;
  }

  /** Changes the room of a worker. */
  resizeWorker(index: number, room: Resources): void {
    this.workerAt(index).resize(room);
  }

  /** Ends all faults. */
  heal(): void {
    this.faults = {lossPercent: 0, latePercent: 0};
    this.network.heal();
    for (const worker of this.workers) {
      worker.resize(WORKER_RESOURCES);
      this.healWorker(worker);
    }
  }

  /** Makes a worker one that may run tasks, now or after its goodbye. */
  private healWorker(worker: SimWorker): void {
    const restart = (): void =>
      worker.restart(this.forgedWords.latestStartOf(worker));
    if (this.forgedWords.mayOutdate(worker))
      this.goodbyes.begin(worker, {afterMs: 0});
    if (this.goodbyes.isLeaving(worker))
      return this.goodbyes.whenOver(worker, restart);
    // A worker that drains ends without a word: a crash by chance.
    if (worker.isDraining && worker.isUp) worker.crashByChance();
    restart();
  }

  /**
   * Ends all faults and checks that every workflow ends, and is done only if
   * all its tasks are.
   */
  async settle(): Promise<void> {
    this.heal();
    await this.advance(SETTLE_MS);
    for (const [id, spec] of this.specs) this.checkEnd(id as WorkflowId, spec);
    for (const difference of this.journals.differences())
      this.oracle.addViolation(difference);
    this.oracle.check();
    this.leadership?.scheduler.close();
    this.reports.stop();
  }

  /** Phases of all workflows, in the order of their submission. */
  phases(): Array<string | undefined> {
    return [...this.specs.keys()].map(
      id => this.replica.db.workflows.get(id as WorkflowId)?.phase,
    );
  }

  private checkEnd(id: WorkflowId, spec: WorkflowSpec): void {
    const phase = this.replica.db.workflows.get(id)?.phase;
    if (phase === 'open')
      this.oracle.addViolation(`${id} is still open at the end`);
    if (phase === 'failed' && !this.hasCauseToFail(id, spec))
      this.oracle.addViolation(`${id} could be done and is shown as failed`);
    if (phase !== 'done') return;
    for (const task of tasksOf(id, spec))
      if (!this.oracle.isDone(task))
        this.oracle.addViolation(`${id} is done, but ${taskKey(task)} is not`);
  }

  /** Whether a task crashes its workers, or has failed as often as it may. */
  private hasCauseToFail(id: WorkflowId, spec: WorkflowSpec): boolean {
    return tasksOf(id, spec).some(
      task =>
        this.deadly.has(taskKey(task)) ||
        this.oracle.mayBeGivenUp(task) ||
        this.oracle.hasFailedBy(task, MAX_ATTEMPTS),
    );
  }

  private workerAt(index: number): SimWorker {
    return this.workers[index % this.workers.length]!;
  }

  private clockOf(process: SimProcess): VirtualClock {
    return new VirtualClock({queue: this.queue, process, rate: 1});
  }

  private stepOf(task: TaskRef): StepSpec | undefined {
    return this.specs.get(task.workflow)?.steps[task.step];
  }

  private commit(command: WorkflowCommand): WorkflowResult | undefined {
    const entry = {index: this.replica.index + 1, command};
    this.reports.copyEntry(entry);
    return this.replica.apply(entry);
  }

  private propose(
    term: number,
    command: WorkflowCommand,
  ): Promise<WorkflowResult> {
    return new Promise((resolve, reject) => {
      this.queue.after(this.random.nextInt(5, 40), () => {
        if (term !== this.term)
          reject(new CellError({code: 'not_leader', step: 'propose'}));
        else resolve(this.commit(command) ?? {kind: 'applied'});
      });
    });
  }

  private orders(): SimOrders {
    const {queue, random, network} = this;
    const faults = () => this.faults;
    return new SimOrders({queue, random, network, faults});
  }

  private scheduleAnnouncements(): void {
    for (const worker of this.workers) this.announce(worker);
    this.queue.after(ANNOUNCE_MS, () => this.scheduleAnnouncements());
  }

  private announce(worker: SimWorker): void {
    if (!worker.isUp || this.network.isSilent(worker)) return;
    this.reports.send(worker);
  }
}
