/**
 * Leads a zone while this VM holds its lease: allocates slots to entry nodes
 * and places tasks on workers.
 */
import {Subscription} from 'rxjs';
import {
  PlacementCore,
  ShareLedger,
  countFits,
  fromImage,
  revivePlacementCore,
  reviveShareLedger,
  toImage,
  type CoreName,
  type Reviver,
  keyOfOrder,
  toCellError,
  type CellCommand,
  type CellResult,
  type Epoch,
  type InheritedShares,
  type JobId,
  type PlacementEffect,
  type PlacementEvent,
  type PlacementLimits,
  type ShareAnswer,
  type ShareEvent,
  type ShareHandover,
  type ShareRequest,
  type ShareTiming,
  type StartTask,
  type TaskId,
  type VmId,
  type WorkerAnswer,
  type ZoneId,
} from '@primrosewick/state';
import type {
  CanHoldReply,
  CanHoldRequest,
  LeaderReply,
  ShareGrant,
  UpstreamAnnouncement,
  UpstreamStatus,
  WorkerAnnouncement,
  WorkerOrders,
  WorkerStatus,
} from '@primrosewick/protocol';
import {pause, type Clock, type Metrics} from '@primrosewick/transport';
import type {AuthorityTask} from '../authority/task.js';
import type {ReplicaChange, ReplicaTask} from '../replica/task.js';
import {zoneQuotas} from './quotas.js';
import type {LogPort, Recorder, WorkerPort} from './types.js';

/** Options of {@link ZoneTask}. */
export interface ZoneTaskOptions {
  readonly zone: ZoneId;
  readonly authority: AuthorityTask;
  readonly replica: ReplicaTask;
  readonly log: LogPort;
  readonly workers: WorkerPort;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  readonly shareTiming: ShareTiming;
  readonly placementLimits: Partial<PlacementLimits>;
  readonly taskLeaseMs: number;
}

/** State of this VM's leadership in one epoch. */
interface ZoneTerm {
  readonly epoch: Epoch;
  /** Monotonic time of the election, in ms. */
  readonly beganAt: number;
  ledger: ShareLedger;
  placement: PlacementCore;
}

const TICK_MS = 200;
const EXPIRE_MS = 1000;
/** Time within which every live worker has announced itself to a new leader, in ms. */
const ANNOUNCE_WINDOW_MS = 6000;
const LOG_RETRY_MS = 500;

/** Leads a zone while this VM holds its lease. */
export class ZoneTask {
  private term: ZoneTerm | null = null;
  private readonly timers = new Subscription();

  constructor(private readonly options: ZoneTaskOptions) {
    options.authority.changes.subscribe(change => {
      if (change.kind === 'elected')
        this.startTerm(change.epoch, change.inherited);
      else this.term = null;
    });
    options.replica.changes.subscribe(change => this.onReplicaChange(change));
  }

  /** Starts the timers that drive the cores. */
  start(): void {
    const {clock} = this.options;
    this.timers.add(clock.every(TICK_MS).subscribe(() => this.tick()));
    this.timers.add(clock.every(EXPIRE_MS).subscribe(() => this.expire()));
  }

  /** Stops the timers. */
  stop(): void {
    this.timers.unsubscribe();
    this.term = null;
  }

  /** Stops allocating slots; returns what the next leader must know of the outstanding shares. */
  handOver(): ShareHandover {
    const {now, term} = this;
    this.term = null;
    return (term?.ledger ?? new ShareLedger({startedAt: now})).handOver(now);
  }

  /** Renews the shares of an entry node. */
  syncShares(request: ShareRequest): LeaderReply<ShareGrant> {
    const term = this.currentTerm();
    if (!term) return this.notLeader();
    const openServices = this.options.replica.replica.state
      .listServices()
      .filter(({state}) => state === 'running')
      .map(({service}) => service.name);
    const answer = this.stepLedger(term, {
      kind: 'sync',
      now: this.now,
      request,
      openServices,
    });
    return {
      kind: 'ok',
      value: {
        ...answer,
        epoch: term.epoch,
        leaseMs: this.options.shareTiming.shareMs,
      },
    };
  }

  /** Handles the announcement of an upstream. */
  announceUpstream(
    report: UpstreamAnnouncement,
  ): LeaderReply<{readonly epoch: Epoch}> {
    const term = this.currentTerm();
    if (!term) return this.notLeader();
    this.stepLedger(term, {kind: 'announce', now: this.now, report});
    return {kind: 'ok', value: {epoch: term.epoch}};
  }

  /** Handles the announcement of a worker. */
  announceWorker(announcement: WorkerAnnouncement): LeaderReply<WorkerOrders> {
    this.options.authority.noteEpoch(announcement.epoch);
    const term = this.currentTerm();
    if (!term) return this.notLeader();
    const effects = this.stepPlacement(term, {
      kind: 'report',
      now: this.now,
      report: announcement,
    });
    const answer = effects.find(effect => effect.kind === 'answer')?.answer;
    return {
      kind: 'ok',
      value: ordersOf(term.epoch, this.options.taskLeaseMs, answer),
    };
  }

  /** Whether the zone's workers could hold tasks of a size if they were empty. */
  canHold({size, taskCount, gang}: CanHoldRequest): LeaderReply<CanHoldReply> {
    const term = this.currentTerm();
    if (!term) return this.notLeader();
    const totals = term.placement.listWorkers().map(({total}) => total);
    const isNew = this.now < term.beganAt + ANNOUNCE_WINDOW_MS;
    const fits = totals.reduce((sum, total) => sum + countFits(size, total), 0);
    if (fits >= (gang ? taskCount : 1))
      return {kind: 'ok', value: {verdict: 'yes'}};
    return {
      kind: 'ok',
      value: {verdict: isNew || totals.length === 0 ? 'unknown' : 'no'},
    };
  }

  /** Lists the upstreams known to this leader; empty when this VM does not lead. */
  listUpstreams(): UpstreamStatus[] {
    return this.currentTerm()?.ledger.list(this.now) ?? [];
  }

  /** Lists the workers known to this leader; empty when this VM does not lead. */
  listWorkers(): WorkerStatus[] {
    const term = this.currentTerm();
    if (!term) return [];
    return term.placement.listWorkers().map(worker => ({
      worker: worker.id,
      rack: worker.rack,
      state: term.placement.isSchedulable(worker, this.now) ? 'open' : 'closed',
      cpuMillis: worker.total.cpuMillis,
      usedCpuMillis: worker.total.cpuMillis - worker.free.cpuMillis,
      tasks: worker.reserved.size,
    }));
  }

  private get now(): number {
    return this.options.clock.now();
  }

  /** The current term, if its lease is still valid. */
  private currentTerm(): ZoneTerm | null {
    const epoch = this.options.authority.epoch;
    return this.term && this.term.epoch === epoch ? this.term : null;
  }

  private notLeader(): {
    readonly kind: 'not_leader';
    readonly leader: VmId | null;
  } {
    return {kind: 'not_leader', leader: this.options.authority.leader};
  }

  private startTerm(epoch: Epoch, inherited?: InheritedShares): void {
    const {shareTiming, placementLimits, recorder} = this.options;
    const startedAt = this.now;
    const placementOptions = {epoch, startedAt, limits: placementLimits};
    const ledgerOptions = {
      startedAt,
      timing: shareTiming,
      ...(inherited ? {inherited} : {}),
    };
    const term: ZoneTerm = {
      epoch,
      beganAt: startedAt,
      ledger: new ShareLedger(ledgerOptions),
      placement: new PlacementCore(placementOptions),
    };
    recorder.start('shares', ledgerOptions);
    recorder.start('placement', placementOptions);
    this.term = term;
    this.updateJobs('all');
    void this.setBarrier(term);
  }

  /** Gives the placement core a log index that covers every job accepted before this epoch. */
  private async setBarrier(term: ZoneTerm): Promise<void> {
    while (this.term === term) {
      const index = await this.options.log.readIndex();
      if (index !== undefined) {
        this.stepPlacement(term, {kind: 'barrier', now: this.now, index});
        return;
      }
      await pause(this.options.clock, LOG_RETRY_MS);
    }
  }

  private expire(): void {
    const term = this.currentTerm();
    if (term) this.stepLedger(term, {kind: 'expire', now: this.now});
  }

  private tick(): void {
    const term = this.currentTerm();
    if (!term) return;
    this.stepPlacement(term, {kind: 'tick', now: this.now});
  }

  private onReplicaChange({jobs}: ReplicaChange): void {
    if (this.term) this.updateJobs(jobs);
  }

  private updateJobs(jobs: readonly JobId[] | 'all'): void {
    const {term} = this;
    if (!term || jobs.length === 0) return;
    const {state} = this.options.replica.replica;
    const records =
      jobs === 'all' ? state.listJobs() : jobs.map(id => state.getJob(id));
    this.stepPlacement(term, {
      kind: 'quotas',
      now: this.now,
      quotas: zoneQuotas(state, this.options.zone),
    });
    for (const job of records) {
      if (job?.homeZone !== this.options.zone) continue;
      this.stepPlacement(term, {
        kind: 'job',
        now: this.now,
        job,
        index: state.index,
      });
    }
  }

  private stepLedger(term: ZoneTerm, event: ShareEvent): ShareAnswer {
    const outcome = term.ledger.step(event);
    const {recorder} = this.options;
    recorder.record({core: 'shares', event, outcome, notes: []});
    if (recorder.isFull('shares'))
      term.ledger = restoreFromImage(
        recorder,
        'shares',
        term.ledger,
        reviveShareLedger,
      );
    return outcome;
  }

  private stepPlacement(
    term: ZoneTerm,
    event: PlacementEvent,
  ): readonly PlacementEffect[] {
    const {recorder} = this.options;
    const {effects, notes} = term.placement.step(event);
    recorder.record({core: 'placement', event, outcome: effects, notes});
    if (recorder.isFull('placement')) {
      term.placement = restoreFromImage(
        recorder,
        'placement',
        term.placement,
        revivePlacementCore,
      );
    }
    for (const effect of effects) this.execute(term, effect);
    return effects;
  }

  private execute(term: ZoneTerm, effect: PlacementEffect): void {
    const {metrics} = this.options;
    switch (effect.kind) {
      case 'start':
        return void this.startTask(term, effect.order);
      case 'record_starts':
        return void this.recordStarts(term, effect.tasks);
      case 'finish':
        return void this.commit(term, {
          kind: 'finish_tasks',
          ends: effect.ends,
        });
      case 'retry':
        return metrics.addRetry(effect.why);
      case 'set_aside':
        return metrics.addChange('worker_set_aside');
      case 'answer':
        return;
    }
  }

  private async startTask(term: ZoneTerm, order: StartTask): Promise<void> {
    if (this.currentTerm() !== term) return;
    const result = await this.options.workers.start(
      order,
      term.epoch,
      this.options.taskLeaseMs,
    );
    if (result === 'accepted' || this.currentTerm() !== term) return;
    const key = keyOfOrder(order);
    this.stepPlacement(term, {
      kind: 'start_refused',
      now: this.now,
      key,
      isDefinite: result === 'refused',
    });
  }

  private async recordStarts(
    term: ZoneTerm,
    wanted: readonly TaskId[],
  ): Promise<void> {
    const result = await this.commit(term, {
      kind: 'record_starts',
      tasks: wanted,
      epoch: term.epoch,
    });
    if (!result?.ok || result.value.kind !== 'starts') return;
    const {tasks} = result.value;
    const taken = wanted.filter(task => !tasks.includes(task));
    this.stepPlacement(term, {
      kind: 'starts_recorded',
      now: this.now,
      tasks,
      taken,
    });
  }

  /** Commits a command, retrying until it succeeds or the term ends. */
  private async commit(
    term: ZoneTerm,
    body: CellCommand['body'],
  ): Promise<CellResult | undefined> {
    while (this.term === term) {
      try {
        const result = await this.options.log.propose({
          at: this.options.clock.wall(),
          body,
        });
        return this.currentTerm() === term ? result : undefined;
      } catch (err) {
        this.options.metrics.addRefusal(
          toCellError(err, 'commit').code,
          body.kind,
        );
        await pause(this.options.clock, LOG_RETRY_MS);
      }
    }
    return undefined;
  }
}

/** Restores a core from its own image, so that a replay of the journal can start there. */
const restoreFromImage = <T extends object>(
  recorder: Recorder,
  core: CoreName,
  present: T,
  revive: Reviver<T>,
): T => {
  const image = toImage(present);
  recorder.resume(core, image);
  return fromImage(image, revive);
};

const ordersOf = (
  epoch: Epoch,
  leaseMs: number,
  answer: WorkerAnswer | undefined,
): WorkerOrders => ({
  epoch,
  leaseMs,
  renewed: [...(answer?.renewed ?? [])],
  stop: [...(answer?.stop ?? [])],
  acknowledged: [...(answer?.acknowledged ?? [])],
});
