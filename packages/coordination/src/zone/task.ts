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
interface Reign {
  readonly epoch: Epoch;
  /** Monotonic time of the election, in ms. */
  readonly beganAt: number;
  ledger: ShareLedger;
  placement: PlacementCore;
}

const TICK_MS = 200;
const EXPIRE_MS = 1000;
/** Time within which every live worker has announced itself to a new leader, in ms. */
const NEW_REIGN_MS = 6000;
const LOG_RETRY_MS = 500;

/** Leads a zone while this VM holds its lease. */
export class ZoneTask {
  private reign: Reign | null = null;
  private readonly timers = new Subscription();

  constructor(private readonly options: ZoneTaskOptions) {
    options.authority.changes.subscribe(change => {
      if (change.kind === 'elected') this.begin(change.epoch, change.inherited);
      else this.reign = null;
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
    this.reign = null;
  }

  /** Stops allocating slots; returns what the next leader must know of the outstanding shares. */
  handOver(): ShareHandover {
    const {now, reign} = this;
    this.reign = null;
    return (reign?.ledger ?? new ShareLedger({startedAt: now})).handOver(now);
  }

  /** Renews the shares of an entry node. */
  syncShares(request: ShareRequest): LeaderReply<ShareGrant> {
    const reign = this.currentReign();
    if (!reign) return this.notLeader();
    const openServices = this.options.replica.replica.state
      .listServices()
      .filter(({state}) => state === 'running')
      .map(({service}) => service.name);
    const answer = this.stepLedger(reign, {
      kind: 'sync',
      now: this.now,
      request,
      openServices,
    });
    return {
      kind: 'ok',
      value: {
        ...answer,
        epoch: reign.epoch,
        leaseMs: this.options.shareTiming.shareMs,
      },
    };
  }

  /** Handles the announcement of an upstream. */
  announceUpstream(
    report: UpstreamAnnouncement,
  ): LeaderReply<{readonly epoch: Epoch}> {
    const reign = this.currentReign();
    if (!reign) return this.notLeader();
    this.stepLedger(reign, {kind: 'announce', now: this.now, report});
    return {kind: 'ok', value: {epoch: reign.epoch}};
  }

  /** Handles the announcement of a worker. */
  announceWorker(announcement: WorkerAnnouncement): LeaderReply<WorkerOrders> {
    this.options.authority.noteEpoch(announcement.epoch);
    const reign = this.currentReign();
    if (!reign) return this.notLeader();
    const effects = this.stepPlacement(reign, {
      kind: 'report',
      now: this.now,
      report: announcement,
    });
    const answer = effects.find(effect => effect.kind === 'answer')?.answer;
    return {
      kind: 'ok',
      value: ordersOf(reign.epoch, this.options.taskLeaseMs, answer),
    };
  }

  /** Whether the zone's workers could hold tasks of a size if they were empty. */
  canHold({size, taskCount, gang}: CanHoldRequest): LeaderReply<CanHoldReply> {
    const reign = this.currentReign();
    if (!reign) return this.notLeader();
    const totals = reign.placement.listWorkers().map(({total}) => total);
    const isNew = this.now < reign.beganAt + NEW_REIGN_MS;
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
    return this.currentReign()?.ledger.list(this.now) ?? [];
  }

  /** Lists the workers known to this leader; empty when this VM does not lead. */
  listWorkers(): WorkerStatus[] {
    const reign = this.currentReign();
    if (!reign) return [];
    return reign.placement.listWorkers().map(worker => ({
      worker: worker.id,
      rack: worker.rack,
      state: reign.placement.isSchedulable(worker, this.now)
        ? 'open'
        : 'closed',
      cpuMillis: worker.total.cpuMillis,
      usedCpuMillis: worker.total.cpuMillis - worker.free.cpuMillis,
      tasks: worker.reserved.size,
    }));
  }

  private get now(): number {
    return this.options.clock.now();
  }

  /** The current leadership, if its lease is still valid. */
  private currentReign(): Reign | null {
    const epoch = this.options.authority.epoch;
    return this.reign && this.reign.epoch === epoch ? this.reign : null;
  }

  private notLeader(): {
    readonly kind: 'not_leader';
    readonly leader: VmId | null;
  } {
    return {kind: 'not_leader', leader: this.options.authority.leader};
  }

  private begin(epoch: Epoch, inherited?: InheritedShares): void {
    const {shareTiming, placementLimits, recorder} = this.options;
    const startedAt = this.now;
    const placementOptions = {epoch, startedAt, limits: placementLimits};
    const ledgerOptions = {
      startedAt,
      timing: shareTiming,
      ...(inherited ? {inherited} : {}),
    };
    const reign: Reign = {
      epoch,
      beganAt: startedAt,
      ledger: new ShareLedger(ledgerOptions),
      placement: new PlacementCore(placementOptions),
    };
    recorder.start('shares', ledgerOptions);
    recorder.start('placement', placementOptions);
    this.reign = reign;
    this.feedJobs('all');
    void this.findBarrier(reign);
  }

  /** Gives the placement core a log index that covers every job accepted before this epoch. */
  private async findBarrier(reign: Reign): Promise<void> {
    while (this.reign === reign) {
      const index = await this.options.log.readIndex();
      if (index !== undefined) {
        this.stepPlacement(reign, {kind: 'barrier', now: this.now, index});
        return;
      }
      await pause(this.options.clock, LOG_RETRY_MS);
    }
  }

  private expire(): void {
    const reign = this.currentReign();
    if (reign) this.stepLedger(reign, {kind: 'expire', now: this.now});
  }

  private tick(): void {
    const reign = this.currentReign();
    if (!reign) return;
    this.stepPlacement(reign, {kind: 'tick', now: this.now});
  }

  private onReplicaChange({jobs}: ReplicaChange): void {
    if (this.reign) this.feedJobs(jobs);
  }

  private feedJobs(jobs: readonly JobId[] | 'all'): void {
    const {reign} = this;
    if (!reign || jobs.length === 0) return;
    const {state} = this.options.replica.replica;
    const records =
      jobs === 'all' ? state.listJobs() : jobs.map(id => state.getJob(id));
    this.stepPlacement(reign, {
      kind: 'quotas',
      now: this.now,
      quotas: zoneQuotas(state, this.options.zone),
    });
    for (const job of records) {
      if (job?.homeZone !== this.options.zone) continue;
      this.stepPlacement(reign, {
        kind: 'job',
        now: this.now,
        job,
        index: state.index,
      });
    }
  }

  private stepLedger(reign: Reign, event: ShareEvent): ShareAnswer {
    const outcome = reign.ledger.step(event);
    const {recorder} = this.options;
    recorder.record({core: 'shares', event, outcome, notes: []});
    if (recorder.isFull('shares'))
      reign.ledger = renew(recorder, 'shares', reign.ledger, reviveShareLedger);
    return outcome;
  }

  private stepPlacement(
    reign: Reign,
    event: PlacementEvent,
  ): readonly PlacementEffect[] {
    const {recorder} = this.options;
    const {effects, notes} = reign.placement.step(event);
    recorder.record({core: 'placement', event, outcome: effects, notes});
    if (recorder.isFull('placement')) {
      reign.placement = renew(
        recorder,
        'placement',
        reign.placement,
        revivePlacementCore,
      );
    }
    for (const effect of effects) this.carryOut(reign, effect);
    return effects;
  }

  private carryOut(reign: Reign, effect: PlacementEffect): void {
    const {metrics} = this.options;
    switch (effect.kind) {
      case 'start':
        return void this.startTask(reign, effect.order);
      case 'record_starts':
        return void this.recordStarts(reign, effect.tasks);
      case 'finish':
        return void this.commit(reign, {
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

  private async startTask(reign: Reign, order: StartTask): Promise<void> {
    if (this.currentReign() !== reign) return;
    const result = await this.options.workers.start(
      order,
      reign.epoch,
      this.options.taskLeaseMs,
    );
    if (result === 'accepted' || this.currentReign() !== reign) return;
    const key = keyOfOrder(order);
    this.stepPlacement(reign, {
      kind: 'start_refused',
      now: this.now,
      key,
      isDefinite: result === 'refused',
    });
  }

  private async recordStarts(
    reign: Reign,
    wanted: readonly TaskId[],
  ): Promise<void> {
    const result = await this.commit(reign, {
      kind: 'record_starts',
      tasks: wanted,
      epoch: reign.epoch,
    });
    if (!result?.ok || result.value.kind !== 'starts') return;
    const {tasks} = result.value;
    const taken = wanted.filter(task => !tasks.includes(task));
    this.stepPlacement(reign, {
      kind: 'starts_recorded',
      now: this.now,
      tasks,
      taken,
    });
  }

  /** Commits a command, retrying until it succeeds or the leadership ends. */
  private async commit(
    reign: Reign,
    body: CellCommand['body'],
  ): Promise<CellResult | undefined> {
    while (this.reign === reign) {
      try {
        const result = await this.options.log.propose({
          at: this.options.clock.wall(),
          body,
        });
        return this.currentReign() === reign ? result : undefined;
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
const renew = <T extends object>(
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
