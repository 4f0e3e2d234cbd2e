/** Runs the authority of the VM's own zone, and the grantors of the zones that it votes in. */
import {Subject, type Subscription} from 'rxjs';
import {
  CellError,
  seededRandom,
  type Epoch,
  type ShareHandover,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {
  isAuthorityMessage,
  isAuthorityReply,
  type AuthorityMessage,
  type AuthorityReply,
  type VmSettings,
} from '@primrosewick/protocol';
import {pause, type Clock, type PeerCaller} from '@primrosewick/transport';
import {AuthorityCore} from './core.js';
import {Grantor} from './grantor.js';
import {authorityGroup} from './groups.js';
import {
  DEFAULT_AUTHORITY_TIMING,
  counterOf,
  type AuthorityChange,
  type AuthorityEffects,
  type AuthorityInput,
  type AuthorityTiming,
} from './types.js';

/** Options of the task. */
export interface AuthorityTaskOptions {
  readonly own: VmSettings;
  readonly vms: readonly VmSettings[];
  /** Random id of this process, made at its start. */
  readonly boot: string;
  readonly peers: PeerCaller;
  readonly clock: Clock;
  readonly timing: Partial<AuthorityTiming>;
  readonly seed: number;
}

const TICK_MS = 100;
/** Longest wait for the replies to a release, in ms: many times a round trip between zones. */
const RELEASE_MS = 500;
/** Maximum lead of an epoch's counter over the wall clock, in seconds. */
const MAX_EPOCH_AHEAD_S = 24 * 60 * 60;

/** Runs the authority of one zone. */
export class AuthorityTask {
  /** Emits when this VM is elected or deposed. */
  readonly changes = new Subject<AuthorityChange>();
  private readonly core: AuthorityCore;
  private readonly grantors = new Map<ZoneId, Grantor>();
  private timer: Subscription | undefined;

  constructor(private readonly options: AuthorityTaskOptions) {
    const {own, vms, boot, clock, seed} = options;
    const timing = {...DEFAULT_AUTHORITY_TIMING, ...options.timing};
    const startedAt = clock.now();
    const earliestGrantAt = startedAt + timing.leaseMs + timing.driftMs;
    for (const zone of new Set(vms.map(vm => vm.zone))) {
      if (!authorityGroup(vms, zone).grantors.includes(own.vm)) continue;
      this.grantors.set(
        zone,
        new Grantor({
          boot,
          startedAt,
          earliestGrantAt,
          driftMs: timing.driftMs,
        }),
      );
    }
    this.core = new AuthorityCore({
      vm: own.vm,
      ordinal: vms.findIndex(({vm}) => vm === own.vm),
      group: authorityGroup(vms, own.zone),
      grantor: this.ownGrantor,
      random: seededRandom(seed),
      now: clock.now(),
      timing,
    });
  }

  /** Starts the ticks of the core. */
  start(): void {
    const {clock} = this.options;
    this.timer = clock
      .every(TICK_MS)
      .subscribe(() =>
        this.step({kind: 'tick', now: clock.now(), wall: clock.wall()}),
      );
  }

  /**
   * Releases the lease, if held, hands over the lent shares, and stops. Resolves
   * when the grantors have replied to the release, or after RELEASE_MS: a grantor
   * that did not receive it keeps its grant until the lease expires, and no VM
   * can become leader until then.
   */
  async resign(handover: ShareHandover): Promise<void> {
    this.timer?.unsubscribe();
    const {clock} = this.options;
    const {sends, changes} = this.core.step({
      kind: 'resign',
      now: clock.now(),
      handover,
    });
    for (const change of changes) this.changes.next(change);
    const replies = sends.map(({to, message}) => this.call(to, message));
    await Promise.race([Promise.all(replies), pause(clock, RELEASE_MS)]);
  }

  /** Epoch under which this VM may act right now, or undefined. */
  get epoch(): Epoch | undefined {
    return this.core.epochAt(this.options.clock.now());
  }

  /** VM to which this VM has granted the lease of its zone, or null. */
  get leader(): VmId | null {
    return this.ownGrantor.leaderAt(this.options.clock.now());
  }

  /** Highest epoch of the zone that this VM has seen. */
  get highestEpoch(): Epoch {
    return this.ownGrantor.highestEpoch;
  }

  /**
   * Records an epoch that a worker has seen.
   * @throws CellError `invalid_input` for an epoch that no leader can have had,
   *   as it would depose every later leader. An epoch that a grantor has seen is
   *   accepted however high it is, as the clock of its leader may have jumped.
   */
  noteEpoch(epoch: Epoch): void {
    const {clock} = this.options;
    const isGranted =
      epoch <= Math.max(this.highestEpoch, this.core.highestEpoch);
    const isAhead = counterOf(epoch) > clock.wall() / 1000 + MAX_EPOCH_AHEAD_S;
    if (isAhead && !isGranted) {
      throw new CellError({
        code: 'invalid_input',
        step: 'note-epoch',
        detail: `epoch ${epoch} lies in the future`,
      });
    }
    this.step({kind: 'saw_epoch', now: clock.now(), epoch});
  }

  /**
   * Handles a message of a candidate or leader.
   * @throws CellError `invalid_input` for a malformed message, as its content
   *   would be passed on to the next leader.
   */
  handle(from: VmId, message: AuthorityMessage): AuthorityReply {
    if (!isAuthorityMessage(message)) throw malformedMessageError(from);
    const grantor = this.grantors.get(message.zone);
    const {boot, clock} = this.options;
    if (grantor) return grantor.handle(from, message, clock.now());
    const seenEpoch = this.highestEpoch;
    return {isGranted: false, seenEpoch, leader: null, boot, upMs: 0};
  }

  private get ownGrantor(): Grantor {
    const grantor = this.grantors.get(this.options.own.zone);
    if (!grantor) throw new Error('no grantor for the own zone');
    return grantor;
  }

  private step(input: AuthorityInput): void {
    this.applyEffects(this.core.step(input));
  }

  private applyEffects({sends, changes}: AuthorityEffects): void {
    const {clock} = this.options;
    for (const {to, round, message} of sends) {
      void this.call(to, message).then(reply => {
        if (!reply) return;
        this.step({kind: 'reply', now: clock.now(), from: to, round, reply});
      });
    }
    for (const change of changes) this.changes.next(change);
  }

  /** @returns the grantor's reply, or undefined: the core only gets well-formed replies. */
  private async call(
    to: VmId,
    message: AuthorityMessage,
  ): Promise<AuthorityReply | undefined> {
    const {peers} = this.options;
    const reply: unknown = await peers
      .call(to, 'authority', message)
      .catch(() => undefined);
    return isAuthorityReply(reply) ? reply : undefined;
  }
}

const malformedMessageError = (peer: VmId): CellError =>
  new CellError({
    code: 'invalid_input',
    step: 'handle-authority',
    peer,
    detail: 'malformed message',
  });
