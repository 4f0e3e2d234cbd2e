/**
 * The scheduler's tasks on virtual time, with a fake log and simulated workers.
 */
import bunyan from 'bunyan';
import {WorkflowReplica} from '@primrosewick/coordination';
import {
  CellError,
  seededRandom,
  type Customer,
  type QueueName,
  type Random,
  type Resources,
  type StepSpec,
  type TaskRef,
  type WorkflowCommand,
  type WorkflowId,
  type WorkflowResult,
  type WorkflowSpec,
} from '@primrosewick/state';
import {EventQueue} from '../world/event_queue.js';
import {SimProcess, VirtualClock} from '../world/process.js';
import {WorldJournals} from './world_journals.js';
import {
  BUNDLE,
  CUSTOMERS,
  customerFor,
  type TestQueueName,
} from './cell_bundle.js';
import {GangRuns} from './gang_runs.js';
import {ForgedWords, type ForgedWord} from './forged_words.js';
import {WorkflowOracle} from './oracle.js';
import {CalmClock} from './calm_clock.js';
import {RunDraws} from './run_draws.js';
import {SimAdviser} from './sim_adviser.js';
import {announceRegularly} from './sim_announcements.js';
import {SimGoodbyes, type GoodbyeOptions} from './sim_goodbyes.js';
import {SimNetwork} from './sim_network.js';
import {SimOrders, type CallFaults} from './sim_orders.js';
import {SimReports} from './sim_reports.js';
import {
  AWARE_AFTER_MS,
  beginLeadership,
  type Leadership,
} from './sim_leadership.js';
import type {SimWorker} from './sim_worker.js';
import {StandingCheck} from './standing_check.js';
import {findWrongEnd} from './workflow_ends.js';
import {DEFAULTS, type WorkflowWorldOptions} from './world_options.js';
import {WORKER_RESOURCES, makeWorkers} from './world_workers.js';

const SETTLE_MS = 120_000;
/** Expected time of a call that is short enough to be made early, in ms. */
const SHORT_CALL = {baseMs: 10, perWorkerMs: 1};

const logger = bunyan.createLogger({name: 'proof', level: 'fatal' as never});

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
  /** Customers by workflow, in a world that has them. */
  private readonly customers = new Map<string, Customer>();
  private readonly draws: RunDraws;
  private faults: CallFaults = {lossPercent: 0, latePercent: 0};
  private leadership: Leadership | undefined;
  private readonly journals = new WorldJournals();
  private term = 0;
  private readonly reports: SimReports;
  private readonly calm: CalmClock;
  private readonly standing: StandingCheck;
  private readonly options: WorkflowWorldOptions;

  constructor(seed: number, options: Partial<WorkflowWorldOptions> = {}) {
    this.options = {...DEFAULTS, ...options};
    const {maxListedEnds, runMs, maxLeaseMs, refusesWhenDown} = this.options;
    this.random = seededRandom(seed);
    const {queue, random, workers} = this;
    const service = () => this.leadership?.service;
    const faults = () => this.faults;
    this.draws = new RunDraws({random, runMs});
    this.oracle = new WorkflowOracle(
      id => this.specs.get(id),
      ({workflow}) => this.customers.get(workflow),
    );
    this.adviser = new SimAdviser({queue, random, workers});
    this.network = new SimNetwork({queue, workers, refusesWhenDown});
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
    const isDisturbed = () => this.isDisturbed;
    this.calm = new CalmClock({now: () => queue.now, isDisturbed});
    this.standing = new StandingCheck({
      queue,
      calm: this.calm,
      workers,
      openWorkflows: () => this.replica.db.open,
      stepsOf: workflow => this.replica.db.stepsOf(workflow, 0),
      isDone: task => this.oracle.isDone(task),
      onStands: what => this.oracle.addViolation(what),
    });
    workers.push(
      ...makeWorkers({
        queue,
        oracle: this.oracle,
        gangs: new GangRuns(queue),
        maxListedEnds,
        maxLeaseMs,
        drawRate: () => 1 - random.nextInt(0, 20) / 1000,
        onChange: worker => this.onWorkerChange(worker),
        stepOf: task => this.stepOf(task),
        needsTicket: ({workflow}) =>
          this.replica.db.workflows.get(workflow)?.queue === 'advised',
        drawRun: task => {
          this.standing.noteStart(task);
          return this.draws.draw(task);
        },
      }),
    );
  }

  /**
   * Applies a bundle, elects the first leader and starts the announcements of
   * workers.
   */
  async start(): Promise<void> {
    const customers = this.options.hasCustomers && {customers: CUSTOMERS};
    this.commit({kind: 'put_bundle', bundle: {...BUNDLE, ...customers}});
    this.changeLeader(false);
    this.reports.start();
    const {queue, workers, network, reports} = this;
    announceRegularly({queue, workers, network, reports});
    if (this.options.checksStanding) this.standing.start();
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
    const customer = this.options.hasCustomers
      ? customerFor(this.specs.size, spec)
      : undefined;
    if (customer) this.customers.set(id, customer);
    const at = this.clockOf(new SimProcess()).wall();
    this.commit({
      kind: 'submit',
      id,
      queue: queue as QueueName,
      spec,
      at,
      ...(customer && {customer: customer.name}),
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
    this.draws.makeDeadly({workflow, occurrence: 0, ...at});
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
    this.calm.disturb();
    if (before) before.lastConfirmedAt = this.queue.now;
    if (before && isUnaware)
      this.queue.after(AWARE_AFTER_MS, () => {
        before.scheduler.close();
        this.calm.disturb();
      });
    else before?.scheduler.close();
    this.term++;
    const {term} = this;
    const clock = this.clockOf(new SimProcess());
    this.leadership = beginLeadership({
      term,
      replica: this.replica,
      clock,
      logger,
      orders: this.orders(),
      adviser: this.adviser,
      recorder: this.journals.begin(clock),
      maxLeaseMs: this.options.maxLeaseMs,
      isLeading: () => term === this.term,
      propose: command => this.propose(term, command),
    });
  }

  setFaults(faults: CallFaults): void {
    this.calm.disturb();
    this.faults = faults;
  }

  crashWorker(index: number): void {
    this.workerAt(index).crashByChance();
  }

  restartWorker(index: number): void {
    this.workerAt(index).restart();
  }

  /** The connections that there are go silent for good, to one worker or to all; new ones work. */
  silenceConnections(index?: number): void {
    this.calm.disturb();
    const worker = index === undefined ? undefined : this.workerAt(index);
    this.network.silenceConnections(worker);
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
    this.calm.disturb();
    this.goodbyes.begin(this.workerAt(index), options);
  }

  /** Another writer says something in the name of a worker. */
  forge(index: number, word: ForgedWord): void {
    this.calm.disturb();
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
    this.calm.disturb();
    this.workerAt(index).isDraining = true;
  }

  /** Changes the room of a worker. */
  resizeWorker(index: number, room: Resources): void {
    this.calm.disturb();
    this.workerAt(index).resize(room);
  }

  /** Ends all faults. */
  heal(): void {
    this.calm.disturb();
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
    this.checkEnds();
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

  private checkEnds(): void {
    const {oracle, specs} = this;
    const isDeadly = (task: TaskRef) => this.draws.isDeadly(task);
    for (const [name, spec] of specs) {
      const id = name as WorkflowId;
      const phase = this.replica.db.workflows.get(id)?.phase;
      const wrong = findWrongEnd({id, spec, phase, oracle, isDeadly});
      if (wrong !== undefined) oracle.addViolation(wrong);
    }
  }

  /** Whether a fault goes on, or a worker is about to end. */
  private get isDisturbed(): boolean {
    const {lossPercent, latePercent} = this.faults;
    if (lossPercent + latePercent > 0) return true;
    return this.workers.some(
      worker =>
        this.network.isSilent(worker) || this.goodbyes.isLeaving(worker),
    );
  }

  private onWorkerChange(worker: SimWorker): void {
    this.calm.disturb();
    if (!worker.isUp) this.network.noteEnd(worker);
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
    const {connectionPolicy} = this.options;
    const faults = () => this.faults;
    return new SimOrders({queue, random, network, faults, connectionPolicy});
  }
}
