/**
 * Discovers the VMs of the cell and its leader, and routes calls to the leader.
 * Every VM of the cell runs one gateway.
 */
import {Subject, filter, type Subscription} from 'rxjs';
import type {
  LinkLeaderReply,
  LinkHello,
  LinkMethod,
  LinkMethods,
  LinkHelloReply,
} from '@primrosewick/protocol';
import {
  CellError,
  toCellError,
  type ReasonCode,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {pause, type Clock, type LinkCaller} from '@primrosewick/transport';
import {KnownIndex} from './known_index.js';

/** Methods that only the leader answers. */
type LeaderMethod = {
  [M in LinkMethod]: LinkMethods[M]['reply'] extends LinkLeaderReply<unknown>
    ? M
    : never;
}[LinkMethod];

/** Value of a successful reply of the leader. */
type LeaderValue<M extends LeaderMethod> = Extract<
  LinkMethods[M]['reply'],
  {kind: 'ok'}
>['value'];

/** Options of {@link GatewayTask}. */
export interface GatewayOptions {
  readonly peers: LinkCaller;
  readonly clock: Clock;
  /** VMs named in the settings. */
  readonly seeds: readonly VmId[];
  /** Builds the hello message of this VM. */
  readonly hello: () => LinkHello;
  /** Zone of this VM; replicas in it are read first. */
  readonly zone: ZoneId;
  /** Called when contact with a serving leader is lost or regained. */
  readonly onContact: (hasContact: boolean, leader: VmId | null) => void;
}

/** Interval of hello calls to the leader, in ms. */
const HELLO_INTERVAL_MS = 400;
/** Interval of hello calls while no leader is known, in ms. */
const DISCOVERY_INTERVAL_MS = 100;
/** Age of the serving leader's last answer at which contact counts as lost, in ms. */
const CONTACT_MS = 1000;
/** Age of a VM's last hello call at which a replica is called again, in ms. */
const REPLICA_HELLO_MS = 10_000;
/** Time for which a replica that failed to answer is not read, in ms. */
const REPLICA_AVOID_MS = 1500;
/** Pause before a call is retried, in ms. */
const RETRY_PAUSE_MS = 60;
/**
 * Time for which a call is retried while no leader accepts it, in ms: a failed
 * leader is replaced in less.
 */
const MAX_UNACCEPTED_MS = 600;
/** Time for which a call with an unknown outcome is retried, in ms: the longest election. */
const MAX_UNKNOWN_OUTCOME_MS = 1400;
/** VMs that one try of a call visits, following redirects to the leader. */
const MAX_HOPS = 3;

/** A VM that may have a replica of the log. */
interface ReplicaInfo {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly isReadable: boolean;
  /** Monotonic time before which other replicas are read, in ms. */
  avoidedUntil: number;
}

/** Discovers the leader and calls it. */
export class GatewayTask {
  /** Emits each hello reply of another VM. */
  readonly helloReplies = new Subject<LinkHelloReply>();
  /** Emits a serving leader that is found after one was lost. */
  private readonly regained = new Subject<VmId>();
  private readonly known = new Set<VmId>();
  private leader: VmId | null = null;
  private servingAt = Number.NEGATIVE_INFINITY;
  private lastHelloAt = Number.NEGATIVE_INFINITY;
  private hadContact = false;
  private readonly index = new KnownIndex();
  private timer: Subscription | undefined;
  /** VMs with a replica of the log, as of their last hello reply. */
  private readonly replicas = new Map<VmId, ReplicaInfo>();
  /** Monotonic time of the last hello call to each VM, in ms. */
  private readonly helloSentAt = new Map<VmId, number>();
  /** VMs with a hello call in flight. */
  private readonly pendingHellos = new Set<VmId>();

  constructor(private readonly options: GatewayOptions) {
    for (const vm of options.seeds) this.known.add(vm);
  }

  /** Starts the discovery of the leader. */
  start(): void {
    this.timer = this.options.clock
      .every(DISCOVERY_INTERVAL_MS)
      .subscribe(() => this.sendHelloWhenDue());
    void this.sendHellos();
  }

  private sendHelloWhenDue(): void {
    const now = this.options.clock.now();
    if (this.leader && now < this.lastHelloAt + HELLO_INTERVAL_MS) return;
    void this.sendHellos();
  }

  /** Stops the discovery. */
  stop(): void {
    this.timer?.unsubscribe();
  }

  /** Adds VMs named in reloaded settings. */
  addSeeds(seeds: readonly VmId[]): void {
    for (const vm of seeds) this.known.add(vm);
  }

  /** Whether a serving leader answered recently. */
  get hasContact(): boolean {
    return this.options.clock.now() < this.servingAt + CONTACT_MS;
  }

  /** Age of the last answer of a serving leader, in ms; null before the first. */
  get contactAgeMs(): number | null {
    const ageMs = this.options.clock.now() - this.servingAt;
    return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
  }

  /** The VM whose replica should be read: preferably one of this zone that does not lead. */
  get replicaVm(): VmId | null {
    const now = this.options.clock.now();
    let best: ReplicaInfo | undefined;
    for (const replica of this.replicas.values()) {
      if (!replica.isReadable || now < replica.avoidedUntil) continue;
      if (!best || this.replicaRank(replica) < this.replicaRank(best))
        best = replica;
    }
    return best?.vm ?? null;
  }

  /**
   * Highest log index reported by the leader or by a replica whose answer was
   * returned to a client. A replica below it is stale, whatever age its own VM
   * computes: the clock of a suspended VM does not count that time.
   */
  get knownIndex(): number {
    return this.index.highest;
  }

  /**
   * Highest index that was known a while ago; a replica below it was cut off or
   * suspended, not merely lagging.
   */
  get settledIndex(): number {
    return this.index.settledAt(this.options.clock.now());
  }

  /** Records an index reported by the leader, or by a replica whose answer is returned. */
  observeIndex(index: number): void {
    this.index.observe(index, this.options.clock.now());
  }

  /** Avoids a replica for a while, because it did not answer or was behind. */
  avoidReplica(vm: VmId): void {
    const replica = this.replicas.get(vm);
    if (replica)
      replica.avoidedUntil = this.options.clock.now() + REPLICA_AVOID_MS;
  }

  /** VMs with a replica that may be read beside the leader, those of this zone first. */
  get followerVms(): readonly VmId[] {
    const now = this.options.clock.now();
    return [...this.replicas.values()]
      .filter(({vm, isReadable}) => isReadable && vm !== this.leader)
      .sort(
        (a, b) =>
          Number(now < a.avoidedUntil) - Number(now < b.avoidedUntil) ||
          this.replicaRank(a) - this.replicaRank(b),
      )
      .map(({vm}) => vm);
  }

  private replicaRank({vm, zone}: ReplicaInfo): number {
    return (zone === this.options.zone ? 0 : 2) + (vm === this.leader ? 1 : 0);
  }

  /** The last known leader. */
  get leaderVm(): VmId | null {
    return this.leader;
  }

  /** All VMs with a disk that were ever known. */
  get vms(): readonly VmId[] {
    return [...this.known];
  }

  /**
   * Calls the leader, on whichever VM it is, until a deadline of the monotonic clock in ms.
   * Nothing is sent once `signal` is aborted.
   * @throws CellError with outcome `unknown` when a call may have been
   *   executed, and with `not_run` when none was sent.
   */
  async callLeader<M extends LeaderMethod>(
    method: M,
    request: LinkMethods[M]['request'],
    deadline: number,
    signal?: AbortSignal,
  ): Promise<LeaderValue<M>> {
    const {clock} = this.options;
    const unacceptedDeadline = Math.min(
      deadline,
      clock.now() + MAX_UNACCEPTED_MS,
    );
    let unknownOutcomeDeadline: number | undefined;
    let last = new CellError({code: 'log_unavailable', step: method});
    while (clock.now() < (unknownOutcomeDeadline ?? unacceptedDeadline)) {
      if (signal?.aborted) throw clientGone(method, unknownOutcomeDeadline);
      const outcome = await this.tryLeader(method, request, deadline);
      if (outcome.kind === 'ok') return outcome.value;
      last = outcome.err;
      if (isFinal(last) && unknownOutcomeDeadline === undefined) throw last;
      if (last.outcome === 'unknown')
        unknownOutcomeDeadline ??= Math.min(
          deadline,
          clock.now() + MAX_UNKNOWN_OUTCOME_MS,
        );
      // Nobody receives an answer after the deadline.
      if (clock.now() + RETRY_PAUSE_MS >= deadline) break;
      await pause(clock, RETRY_PAUSE_MS);
    }
    throw unknownOutcomeDeadline !== undefined
      ? new CellError({
          code: 'log_outcome_unknown',
          step: method,
          peer: last.peer,
          detail: last.message,
        })
      : new CellError({
          code: 'log_unavailable',
          step: method,
          peer: last.peer,
          detail: last.message,
        });
  }

  private async tryLeader<M extends LeaderMethod>(
    method: M,
    request: LinkMethods[M]['request'],
    deadline: number,
  ): Promise<
    | {readonly kind: 'ok'; readonly value: LeaderValue<M>}
    | {readonly kind: 'failed'; readonly err: CellError}
  > {
    const {peers, clock} = this.options;
    let next = this.leader;
    for (let hop = 0; next && hop < MAX_HOPS; hop++) {
      const target: VmId = next;
      const timeoutMs = deadline - clock.now();
      try {
        const reply = await this.untilSuperseded(
          target,
          method,
          peers.call(target, method, request, {timeoutMs}) as Promise<
            LinkLeaderReply<LeaderValue<M>>
          >,
        );
        if (reply.kind === 'ok') {
          this.observeIndex(reply.index ?? 0);
          return reply;
        }
        if (this.leader === target) this.leader = reply.leader;
        next = reply.leader === target ? null : reply.leader;
      } catch (thrown) {
        const err = toCellError(thrown, method, target);
        if (err.code === 'peer_unreachable') this.forgetLeader(target);
        return {kind: 'failed', err};
      }
    }
    const err = new CellError({code: 'log_unavailable', step: method});
    return {kind: 'failed', err};
  }

  /**
   * Gives a call up once its leader was lost, as one that is silent or cannot be
   * reached, and another VM is found to lead: that one can be asked in time.
   * @throws CellError `peer_timeout`.
   */
  private untilSuperseded<T>(
    target: VmId,
    step: string,
    reply: Promise<T>,
  ): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const subscription = this.regained
        .pipe(filter(vm => vm !== target))
        .subscribe(() => {
          const detail = 'another VM leads';
          reject(
            new CellError({code: 'peer_timeout', step, peer: target, detail}),
          );
        });
      reply.finally(() => subscription.unsubscribe()).then(resolve, reject);
    });
  }

  private forgetLeader(vm: VmId): void {
    if (this.leader === vm) this.leader = null;
  }

  /**
   * Sends a hello to the leader and one stale replica, or to every known VM
   * without contact to a leader.
   */
  private async sendHellos(): Promise<void> {
    const {leader, known} = this;
    this.lastHelloAt = this.options.clock.now();
    const targets =
      leader && this.hasContact
        ? [leader, ...this.staleReplicas(leader)]
        : [...known];
    await Promise.all(targets.map(vm => this.sendHello(vm)));
    this.reportContactChange();
  }

  /**
   * At most one VM whose last hello call is too old: there are many replicas
   * and calls are expensive.
   */
  private staleReplicas(leader: VmId): VmId[] {
    const staleAt = this.options.clock.now() - REPLICA_HELLO_MS;
    const isStale = (vm: VmId): boolean =>
      vm !== leader && (this.helloSentAt.get(vm) ?? staleAt) <= staleAt;
    return [...this.known].filter(isStale).slice(0, 1);
  }

  private async sendHello(vm: VmId): Promise<void> {
    const {peers, hello, clock} = this.options;
    if (this.pendingHellos.has(vm)) return;
    this.pendingHellos.add(vm);
    this.helloSentAt.set(vm, clock.now());
    try {
      this.take(await peers.call(vm, 'hello', hello()));
    } catch {
      // A missing answer shows in the age of the last one.
    } finally {
      this.pendingHellos.delete(vm);
    }
    this.reportContactChange();
  }

  private take(helloReply: LinkHelloReply): void {
    const hadLeader = this.leader !== null && this.hasContact;
    for (const vm of helloReply.members) this.known.add(vm);
    const {vm, zone, isReadable} = helloReply;
    const avoidedUntil = this.replicas.get(vm)?.avoidedUntil ?? 0;
    this.replicas.set(vm, {vm, zone, isReadable, avoidedUntil});
    if (helloReply.leader) this.leader = helloReply.leader;
    if (helloReply.isServing) {
      this.observeIndex(helloReply.index);
      this.leader = vm;
      this.servingAt = this.options.clock.now();
      if (!hadLeader) this.regained.next(vm);
    }
    this.helloReplies.next(helloReply);
  }

  private reportContactChange(): void {
    if (this.hadContact === this.hasContact) return;
    this.hadContact = this.hasContact;
    this.options.onContact(this.hadContact, this.leader);
  }
}

/** Error of a call that is not sent again; it may run if its outcome is unknown. */
const clientGone = (
  step: string,
  unknownOutcomeDeadline: number | undefined,
): CellError =>
  new CellError({
    code: 'client_gone',
    step,
    outcome: unknownOutcomeDeadline === undefined ? 'not_run' : 'unknown',
  });

/** Error codes after which a retry, or another leader, may succeed. */
const RETRYABLE_CODES: ReadonlySet<ReasonCode> = new Set([
  'peer_unreachable',
  'peer_timeout',
  'log_unavailable',
  'log_outcome_unknown',
  'not_leader',
  'stopping',
  'storage_failed',
]);

/** Whether a retry cannot succeed. */
const isFinal = ({code}: CellError): boolean => !RETRYABLE_CODES.has(code);
