import {
  DEFAULT_AUTHORITY_TIMING,
  type ClientRequest,
  type JournalRecorder,
} from '@primrosewick/coordination';
import type {VmSettings} from '@primrosewick/protocol';
import {
  asId,
  seededRandom,
  type JobSpec,
  type ProfileName,
  type Random,
  type RequestId,
  type ServiceName,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {EventQueue} from '../world/event_queue.js';
import {
  FakeNetwork,
  NO_FAULTS,
  type NetworkFaults,
} from '../world/fake_network.js';
import {FakeLog} from './fake_log.js';
import {checkJobs} from './job_check.js';
import {checkJournal} from './journal_check.js';
import {ZoneOracle, type ClientRecord} from './oracle.js';
import {QuorumRecord} from './quorum_record.js';
import {makeVms, profileOf} from './fixtures.js';
import {SIM_SYNC_MS, SIM_TIMING, SimVm} from './sim_vm.js';
import {SimUpstream} from './sim_upstream.js';
import {SimWorker} from './sim_worker.js';

const ZONE = asId<ZoneId>('a');
const SERVICE = asId<ServiceName>('desk');
const SETTLE_MS = 8000;
const MAX_SETTLE_MS = 120_000;
const START_MS = 6000;
const WORKER_CPU_MILLIS = 4000;
/** Time after its start during which a grantor grants nothing, in ms. */
const GRANT_DELAY_MS =
  SIM_TIMING.zoneLeaseMs + DEFAULT_AUTHORITY_TIMING.driftMs;
const ELECTION_MS = 1500;
/**
 * Time from the return of a majority of grantors until every entry holds
 * shares, in ms: an election, the expiry of earlier loans, and a renewal.
 */
const RECOVERY_MS =
  ELECTION_MS + SIM_TIMING.shareMs + SIM_TIMING.shareMarginMs + SIM_SYNC_MS;
/** Largest deviation of a clock's rate, in parts per thousand. */
const DRIFT_PERMILLE = 5;

/** Parameters of a client's request. */
export interface RequestPlan {
  readonly vm: number;
  readonly isIdempotent: boolean;
  readonly key: string | undefined;
  readonly serviceMs: number;
  readonly deadlineMs: number;
  readonly hangUpMs: number | undefined;
}

/** Parameters of a job. */
export interface JobPlan {
  readonly profile: 'again' | 'once' | 'spread';
  readonly taskCount: number;
  readonly gang: boolean;
  readonly priority: number;
  readonly cpuMillis: number;
  readonly runMs: number;
  readonly fails: boolean;
}

/** One zone on virtual time: production tasks of daemons behind fake ports. */
export class ZoneWorld {
  readonly queue = new EventQueue();
  readonly oracle = new ZoneOracle();
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly log: FakeLog;
  readonly vms: VmSettings[];
  readonly upstreams: SimUpstream[];
  readonly workers: SimWorker[];
  private readonly quorum: QuorumRecord;
  private readonly running = new Map<VmId, SimVm>();
  private readonly journals: JournalRecorder[] = [];
  private bootCount = 0;
  private requests = 0;
  /** Whether no faults are injected, so that time bounds are checked too. */
  isFaultFree = false;

  constructor(
    seed: number,
    /** Number of VMs of the zone: 3, or 2 with a witness. */
    zoneVms: number,
  ) {
    this.random = seededRandom(seed);
    this.network = new FakeNetwork(this.queue, this.random);
    this.log = new FakeLog(this.queue, this.random);
    this.vms = makeVms(zoneVms);
    this.quorum = new QuorumRecord({
      grantors: this.vms.length,
      grantDelayMs: GRANT_DELAY_MS,
    });
    this.configure();
    for (const {vm} of this.vms) this.boot(vm);
    this.upstreams = [2, 3].map(
      (slots, i) => new SimUpstream(`up${i}`, slots, SERVICE, ZONE, this),
    );
    this.workers = [0, 1, 2].map(i => this.makeWorker(i));
  }

  /** Network faults currently injected. */
  get faults(): NetworkFaults {
    return this.network.faults;
  }

  /** Lets the zone elect its first leader. */
  async start(): Promise<void> {
    await this.advance(START_MS);
  }

  /** Advances virtual time and checks for contradictions. */
  async advance(ms: number): Promise<void> {
    await this.queue.advanceAsync(ms);
    for (const worker of this.workers) worker.check();
    this.oracle.check();
  }

  /** Returns the last daemon started on a VM. */
  vmOf(vm: VmId): SimVm | undefined {
    return this.running.get(vm);
  }

  /** Returns the last daemon started on an entry of the zone, by number. */
  entryAt(i: number): SimVm | undefined {
    const own = this.vms.filter(({zone}) => zone === ZONE);
    return this.running.get(own[i % own.length]!.vm);
  }

  /** Returns the upstream at an address. */
  upstreamAt(address: string): SimUpstream | undefined {
    return this.upstreams.find(upstream => upstream.address === address);
  }

  /** Returns the worker at an address. */
  workerAt(address: string): SimWorker | undefined {
    return this.workers.find(worker => worker.address === address);
  }

  /** All endpoints between which a link can be cut. */
  get endpoints(): string[] {
    return [
      ...this.vms.map(({vm}) => vm),
      ...this.upstreams.map(({address}) => address),
      ...this.workers.map(({address}) => address),
    ];
  }

  /** Sends a message to a random entry of the zone. */
  sendToRandomVm(from: string, deliver: (vm: SimVm) => void): void {
    const own = this.vms.filter(({zone}) => zone === ZONE);
    const {vm} = own[this.random.nextInt(0, own.length - 1)]!;
    this.network.send(from, vm, () => {
      const target = this.running.get(vm);
      target?.process.run(() => deliver(target));
    });
  }

  /** Restarts the daemon of a VM. */
  boot(vm: VmId): void {
    this.crash(vm);
    this.bootCount++;
    const own = this.vms.find(other => other.vm === vm)!;
    const started = new SimVm(own, this.bootCount, this.drawRate(), this);
    this.running.set(vm, started);
    this.quorum.addStart(vm, this.queue.now);
    this.journals.push(started.journal);
  }

  /** Kills the daemon of a VM. */
  crash(vm: VmId): void {
    this.running.get(vm)?.process.kill();
    this.quorum.addEnd(vm, this.queue.now);
  }

  /** Stops the daemon of a VM gracefully. */
  stop(vm: VmId): void {
    const daemon = this.running.get(vm);
    void daemon?.stop().then(() => {
      const hasEnded =
        !daemon.process.isAlive && this.running.get(vm) === daemon;
      if (hasEnded) this.quorum.addEnd(vm, this.queue.now);
    });
  }

  /**
   * Requests lost by planned stops. An idempotent request that was sent in time
   * may time out if its zone had no majority of grantors, and so no leader,
   * while it waited.
   */
  get lost(): string[] {
    return this.oracle.findLost(
      ({from, to}) =>
        !this.quorum.hadQuorumDuring(Math.max(from, to - RECOVERY_MS), to),
    );
  }

  /** The VM that leads the zone now, if any. */
  get leader(): VmId | undefined {
    return this.vms.find(({vm}) => {
      const running = this.running.get(vm);
      return running?.process.isAlive && running.authority.epoch !== undefined;
    })?.vm;
  }

  /** Sends a request as a client. */
  request(plan: RequestPlan): void {
    const vm = this.entryAt(plan.vm);
    if (!vm?.process.isAlive || vm.process.isFrozen || vm.isStopping) return;
    this.requests++;
    const id = `q${this.requests}`;
    const record: ClientRecord = {
      id,
      isIdempotent: plan.isIdempotent,
      key: plan.key,
      entry: vm.holder,
      sentAt: this.queue.now,
      deadline: this.queue.now + plan.deadlineMs,
    };
    const abort = new AbortController();
    const request = this.clientRequest(id, plan, abort.signal);
    const served =
      plan.key === undefined
        ? vm.entry.serve(request)
        : vm.idempotentRequests.serve(plan.key, request);
    this.oracle.addRequest(record);
    this.watch(vm, record, served);
    const {hangUpMs} = plan;
    if (hangUpMs !== undefined)
      this.queue.after(hangUpMs, () => vm.process.run(() => abort.abort()));
  }

  /** Submits a job. */
  submit(plan: JobPlan): void {
    const spec: JobSpec = {
      team: asId('team'),
      profile: asId<ProfileName>(plan.profile),
      taskCount: plan.taskCount,
      gang: plan.gang && this.canHoldGang(plan),
      priority: plan.priority,
      size: {cpuMillis: plan.cpuMillis, memoryMb: 100, accelerators: 0},
      command: plan.fails ? 'fail' : 'run',
      runMs: plan.runMs,
    };
    this.log.commit({
      at: this.queue.now,
      body: {kind: 'submit_job', spec, homeZone: ZONE},
    });
  }

  /** Cancels one of the jobs. */
  cancel(which: number): void {
    const jobs = this.log.state.listJobs();
    const job = jobs[which % Math.max(1, jobs.length)];
    if (job)
      this.log.commit({
        at: this.queue.now,
        body: {kind: 'cancel_job', job: job.id},
      });
  }

  /** Ends all faults, lets the zone settle and checks its final state. */
  async settle(): Promise<void> {
    this.network.heal();
    this.network.faults = NO_FAULTS;
    this.log.isReachable = true;
    this.log.lossPercent = 0;
    await this.finishStops();
    for (const {vm} of this.vms) {
      const running = this.running.get(vm);
      if (running?.process.isFrozen) running.process.thaw();
      if (!running?.process.isAlive) this.boot(vm);
    }
    for (const upstream of this.upstreams) {
      if (upstream.process.isFrozen) upstream.process.thaw();
      if (!upstream.process.isAlive || upstream.leavingSince < this.queue.now)
        upstream.restart();
    }
    for (const worker of this.workers) {
      if (worker.process.isFrozen) worker.process.thaw();
      if (!worker.process.isAlive) worker.restart();
    }
    await this.settleWork();
    this.oracle.checkEnd();
    this.checkJobs();
    this.checkLeader();
    for (const journal of this.journals) checkJournal(journal);
  }

  /** Advances time until stopping daemons have finished their open requests. */
  private async finishStops(): Promise<void> {
    const deadline = this.queue.now + MAX_SETTLE_MS;
    const isStopping = (): boolean =>
      [...this.running.values()].some(
        ({process, isStopping}) => process.isAlive && isStopping,
      );
    while (isStopping() && this.queue.now < deadline) await this.advance(100);
  }

  /** Advances time until all jobs have ended, at most MAX_SETTLE_MS. */
  private async settleWork(): Promise<void> {
    const deadline = this.queue.now + MAX_SETTLE_MS;
    await this.advance(SETTLE_MS);
    while (
      this.queue.now < deadline &&
      this.log.state.listJobs().some(job => job.state !== 'done')
    ) {
      await this.advance(SETTLE_MS);
    }
  }

  /** A gang that never fits is rejected at submission, which is skipped here. */
  private canHoldGang({cpuMillis, taskCount}: JobPlan): boolean {
    return (
      Math.floor(WORKER_CPU_MILLIS / cpuMillis) * this.workers.length >=
      taskCount
    );
  }

  private watch(
    vm: SimVm,
    record: ClientRecord,
    served: Promise<{body: Uint8Array}>,
  ): void {
    served.then(
      answer =>
        this.oracle.addAnswer(
          record,
          Buffer.from(answer.body).toString(),
          this.queue.now,
        ),
      (err: unknown) => this.oracle.addRefusal(record, err),
    );
    this.watchForCrash(vm, record);
  }

  /** Records an unknown outcome once the daemon and its connection are dead. */
  private watchForCrash(vm: SimVm, record: ClientRecord): void {
    this.queue.after(1000, () => {
      if (record.answer) return;
      if (vm.process.isAlive) this.watchForCrash(vm, record);
      else
        record.answer = {
          kind: 'refused',
          code: 'client_gone',
          outcome: 'unknown',
        };
    });
  }

  private clientRequest(
    id: string,
    plan: RequestPlan,
    signal: AbortSignal,
  ): ClientRequest {
    const path =
      plan.key === undefined
        ? `/${id}?ms=${plan.serviceMs}`
        : `/${plan.key}?ms=${plan.serviceMs}`;
    return {
      id: asId<RequestId>(id),
      service: SERVICE,
      deadline: Math.floor(
        1_800_000_000_000 + this.queue.now + plan.deadlineMs,
      ),
      forwarded: {
        method: plan.isIdempotent ? 'GET' : 'POST',
        path,
        headers: {},
        body: new Uint8Array(),
      },
      signal,
    };
  }

  private checkJobs(): void {
    const runs = this.workers.flatMap(worker =>
      worker.allRuns().map(run => ({...run, address: worker.address})),
    );
    checkJobs(this.log.state.listJobs(), runs);
  }

  /** Checks that the zone has exactly one leader after the faults. */
  private checkLeader(): void {
    const own = this.vms.filter(({zone}) => zone === ZONE);
    const leaders = own.filter(
      ({vm}) => this.running.get(vm)?.authority.epoch !== undefined,
    );
    if (leaders.length !== 1)
      throw new Error(`${leaders.length} leaders after the faults ended`);
  }

  private configure(): void {
    for (const name of ['desk', 'again', 'once', 'spread'] as const) {
      this.log.commit({
        at: 0,
        body: {kind: 'put_profile', profile: profileOf(name), baseRevision: 0},
      });
    }
    const service = {name: SERVICE, profile: asId<ProfileName>('desk')};
    this.log.commit({
      at: 0,
      body: {kind: 'put_service', service, baseRevision: 0},
    });
  }

  private makeWorker(i: number): SimWorker {
    const options = {
      name: `wk${i}`,
      zone: ZONE,
      rack: `rack${i % 2}`,
      size: {cpuMillis: WORKER_CPU_MILLIS, memoryMb: 4000, accelerators: 0},
      rate: this.drawRate(),
      outcomeOf: (command: string) =>
        command === 'fail' ? ('failed' as const) : ('succeeded' as const),
    };
    return new SimWorker(options, this);
  }

  private drawRate(): number {
    return 1 + this.random.nextInt(-DRIFT_PERMILLE, DRIFT_PERMILLE) / 1000;
  }
}
