/** Candidate and leader of one zone: a state machine without clock or network. */
import {
  NO_EPOCH,
  assertNever,
  type Epoch,
  type InheritedShares,
  type Random,
  type ShareHandover,
  type VmId,
} from '@primrosewick/state';
import type {
  AuthorityMessage,
  AuthorityReply,
  GrantorProcess,
  LastEpoch,
} from '@primrosewick/protocol';
import type {Grantor} from './grantor.js';
import {
  DEFAULT_AUTHORITY_TIMING,
  counterOf,
  makeEpoch,
  type AuthorityChange,
  type AuthorityEffects,
  type AuthorityGroup,
  type AuthorityInput,
  type AuthoritySend,
  type AuthorityTiming,
} from './types.js';

/** Options of the core. */
export interface AuthorityOptions {
  readonly vm: VmId;
  /** Position of the VM in the cell's list of VMs. */
  readonly ordinal: number;
  readonly group: AuthorityGroup;
  /** The VM's own grantor for the zone. */
  readonly grantor: Grantor;
  readonly random: Random;
  readonly now: number;
  readonly timing?: Partial<AuthorityTiming>;
}

type Phase =
  | {readonly kind: 'idle'}
  | {
      readonly kind: 'preparing';
      readonly round: number;
      readonly granted: Set<VmId>;
    }
  | {
      readonly kind: 'voting';
      readonly round: number;
      readonly epoch: Epoch;
      readonly sentAt: number;
      readonly granted: Set<VmId>;
      readonly votes: Vote[];
    }
  | {
      readonly kind: 'leading';
      readonly epoch: Epoch;
      /** Grantor processes that have replied to a renewal. */
      readonly witnesses: Map<VmId, GrantorProcess>;
    };

/** A granted vote. */
interface Vote {
  readonly grantor: GrantorProcess;
  /** Latest leadership that the grantor knows of. */
  readonly lastReign: LastEpoch | undefined;
}

type LeadingPhase = Extract<Phase, {kind: 'leading'}>;

interface RenewRound {
  readonly sentAt: number;
  readonly granted: Set<VmId>;
}

/** Candidate and leader of one zone. */
export class AuthorityCore {
  private readonly timing: AuthorityTiming;
  private phase: Phase = {kind: 'idle'};
  private round = 0;
  private now: number;
  private wall = 0;
  private nextElectionAt: number;
  private nextRenewAt = 0;
  private leaseDeadline = Number.NEGATIVE_INFINITY;
  private seenEpoch: Epoch = NO_EPOCH;
  private readonly renewals = new Map<number, RenewRound>();
  private sends: AuthoritySend[] = [];
  private changes: AuthorityChange[] = [];

  constructor(private readonly options: AuthorityOptions) {
    this.timing = {...DEFAULT_AUTHORITY_TIMING, ...options.timing};
    this.now = options.now;
    this.nextElectionAt = options.now + this.randomDelay();
  }

  /** Handles one input. */
  step(input: AuthorityInput): AuthorityEffects {
    this.sends = [];
    this.changes = [];
    this.now = Math.max(this.now, input.now);
    this.handle(input);
    return {sends: this.sends, changes: this.changes};
  }

  /**
   * Epoch under which this VM may act at a time, or undefined. Must be called
   * right before each action, as the process may have been suspended.
   */
  epochAt(now: number): Epoch | undefined {
    const isValid =
      this.phase.kind === 'leading' &&
      now < this.leaseDeadline - this.timing.safetyMs;
    return isValid && this.phase.kind === 'leading'
      ? this.phase.epoch
      : undefined;
  }

  /** Highest epoch of the zone that any grantor has reported. */
  get highestEpoch(): Epoch {
    return this.seenEpoch;
  }

  private handle(input: AuthorityInput): void {
    switch (input.kind) {
      case 'tick':
        this.wall = input.wall;
        return this.onTick();
      case 'reply':
        return this.onReply(input.from, input.round, input.reply);
      case 'saw_epoch':
        return this.onSeenEpoch(input.epoch);
      case 'resign':
        return this.onResign(input.handover);
      default:
        return assertNever(input);
    }
  }

  private onTick(): void {
    if (this.phase.kind === 'leading') return this.onLeaderTick();
    if (this.now < this.nextElectionAt) return;
    if (this.phase.kind === 'voting') this.abandonVote(this.phase.epoch);
    this.nextElectionAt = this.now + this.randomDelay();
    const {grantor, vm} = this.options;
    const leader = grantor.leaderAt(this.now);
    if (leader === null || leader === vm) this.prepare();
  }

  private onLeaderTick(): void {
    if (this.phase.kind !== 'leading') return;
    if (this.now >= this.leaseDeadline - this.timing.safetyMs)
      return this.stepDown('the lease ran out');
    if (this.now >= this.nextRenewAt) this.renew(this.phase.epoch);
  }

  /** Asks the grantors whether an election could succeed, without changing their state. */
  private prepare(): void {
    this.round++;
    this.phase = {kind: 'preparing', round: this.round, granted: new Set()};
    this.broadcast({kind: 'prepare', zone: this.options.group.zone});
  }

  private vote(): void {
    this.round++;
    const counter = Math.max(
      counterOf(this.seenEpoch) + 1,
      Math.floor(this.wall / 1000),
    );
    const epoch = makeEpoch(counter, this.options.ordinal);
    this.phase = {
      kind: 'voting',
      round: this.round,
      epoch,
      sentAt: this.now,
      granted: new Set(),
      votes: [],
    };
    this.broadcast({
      kind: 'vote',
      zone: this.options.group.zone,
      epoch,
      leaseMs: this.timing.leaseMs,
    });
  }

  /**
   * Releases the grants of a vote that was not won. Otherwise two candidates
   * that vote at the same time would block each other for a whole lease.
   */
  private abandonVote(epoch: Epoch): void {
    this.idle();
    this.broadcast({
      kind: 'release',
      zone: this.options.group.zone,
      epoch,
      why: {kind: 'not_led'},
    });
  }

  private renew(epoch: Epoch): void {
    this.round++;
    this.nextRenewAt = this.now + this.timing.renewMs;
    this.renewals.set(this.round, {sentAt: this.now, granted: new Set()});
    this.dropExpiredRenewals();
    this.broadcast({
      kind: 'renew',
      zone: this.options.group.zone,
      epoch,
      leaseMs: this.timing.leaseMs,
    });
  }

  private dropExpiredRenewals(): void {
    for (const [round, {sentAt}] of this.renewals) {
      if (sentAt + this.timing.leaseMs < this.now) this.renewals.delete(round);
    }
  }

  private broadcast(message: AuthorityMessage): void {
    const {round} = this;
    const {group, vm, grantor} = this.options;
    for (const to of group.grantors)
      if (to !== vm) this.sends.push({to, round, message});
    if (group.grantors.includes(vm))
      this.onReply(vm, round, grantor.handle(vm, message, this.now));
  }

  private onReply(from: VmId, round: number, reply: AuthorityReply): void {
    if (reply.seenEpoch > this.seenEpoch) this.seenEpoch = reply.seenEpoch;
    const {phase} = this;
    switch (phase.kind) {
      case 'idle':
        return;
      case 'preparing':
        if (phase.round === round && this.addGrant(phase.granted, from, reply))
          this.vote();
        return;
      case 'voting':
        if (phase.round !== round) return;
        if (reply.isGranted) phase.votes.push(toVote(from, reply));
        if (this.addGrant(phase.granted, from, reply))
          this.becomeLeader(phase.epoch, phase.sentAt, phase.votes);
        return;
      case 'leading':
        return this.onRenewReply(phase, from, round, reply);
      default:
        return assertNever(phase);
    }
  }

  private onRenewReply(
    {epoch, witnesses}: LeadingPhase,
    from: VmId,
    round: number,
    reply: AuthorityReply,
  ): void {
    if (reply.seenEpoch > epoch)
      return this.stepDown(`${from} has seen epoch ${reply.seenEpoch}`);
    const renewal = this.renewals.get(round);
    if (!renewal) return;
    if (reply.upMs > this.maxVoteMs * (1 + MAX_DRIFT))
      witnesses.set(from, {vm: from, boot: reply.boot});
    if (!this.addGrant(renewal.granted, from, reply)) return;
    this.leaseDeadline = Math.max(
      this.leaseDeadline,
      renewal.sentAt + this.timing.leaseMs,
    );
  }

  /** @returns whether the grants now form a majority. */
  private addGrant(
    granted: Set<VmId>,
    from: VmId,
    reply: AuthorityReply,
  ): boolean {
    if (reply.isGranted) granted.add(from);
    return (
      granted.size >= Math.floor(this.options.group.grantors.length / 2) + 1
    );
  }

  private becomeLeader(
    epoch: Epoch,
    sentAt: number,
    votes: readonly Vote[],
  ): void {
    if (this.now >= sentAt + this.maxVoteMs) return this.abandonVote(epoch);
    this.leaseDeadline = sentAt + this.timing.leaseMs;
    this.phase = {kind: 'leading', epoch, witnesses: new Map()};
    this.renewals.clear();
    const inherited = findInheritedShares(votes, this.now);
    this.changes.push({
      kind: 'elected',
      epoch,
      ...(inherited ? {inherited} : {}),
    });
    this.renew(epoch);
  }

  private onSeenEpoch(epoch: Epoch): void {
    this.options.grantor.noteEpoch(epoch);
    if (epoch > this.seenEpoch) this.seenEpoch = epoch;
    if (this.phase.kind === 'leading' && epoch > this.phase.epoch)
      this.stepDown(`epoch ${epoch} was seen`);
  }

  /** Stops for good: replies to earlier messages no longer lead to an election. */
  private onResign(handover: ShareHandover): void {
    const {phase} = this;
    if (phase.kind === 'leading') this.releaseWithHandover(phase, handover);
    else if (phase.kind === 'voting') this.abandonVote(phase.epoch);
    else this.idle();
    this.nextElectionAt = Number.POSITIVE_INFINITY;
  }

  /**
   * Releases the lease and hands over the lent shares. After the end of the
   * lease nothing is sent: another leader may have lent shares since, and the
   * grants expire by themselves.
   */
  private releaseWithHandover(
    {epoch, witnesses}: LeadingPhase,
    handover: ShareHandover,
  ): void {
    const isValid = this.epochAt(this.now) !== undefined;
    this.stepDown('the VM is shutting down');
    if (!isValid) return;
    this.broadcast({
      kind: 'release',
      zone: this.options.group.zone,
      epoch,
      why: {kind: 'stopped', handover, witnesses: [...witnesses.values()]},
    });
  }

  private stepDown(why: string): void {
    if (this.phase.kind === 'leading')
      this.changes.push({kind: 'deposed', epoch: this.phase.epoch, why});
    this.idle();
  }

  private idle(): void {
    this.phase = {kind: 'idle'};
    this.leaseDeadline = Number.NEGATIVE_INFINITY;
    this.renewals.clear();
    this.nextElectionAt = this.now + this.randomDelay();
  }

  /**
   * Time within which a vote must be won, in ms. A grantor that has been up for
   * longer knows every vote that it granted and that can still be won.
   */
  private get maxVoteMs(): number {
    return this.timing.renewMs;
  }

  private randomDelay(): number {
    const {renewMs} = this.timing;
    return this.options.random.nextInt(Math.ceil(renewMs / 4), renewMs);
  }
}

/** Fraction by which the clock of a grantor may run faster than another one. */
const MAX_DRIFT = 0.02;

const toVote = (vm: VmId, {boot, lastReign}: AuthorityReply): Vote => ({
  grantor: {vm, boot},
  lastReign,
});

/**
 * Finds the shares that the previous leader handed over. Each leader had the
 * votes of a majority, so the latest leadership that any majority of grantors
 * knows of is the last one. A grantor counts only while it is the same process
 * that replied to the leader which handed over, as that process knows each of
 * its later votes.
 * @returns undefined if unknown loans may still be in use.
 */
const findInheritedShares = (
  votes: readonly Vote[],
  now: number,
): InheritedShares | undefined => {
  const reported = votes.flatMap(({lastReign}) => lastReign ?? []);
  const lastEpoch = Math.max(...reported.map(({epoch}) => epoch));
  const last = reported.find(({epoch, left}) => epoch === lastEpoch && left);
  if (!last?.left) return undefined;
  const {succession, heldMs} = last.left;
  const {handover, witnesses} = succession;
  const isWitnessed = votes.every(({grantor}) =>
    witnesses.some(({vm, boot}) => vm === grantor.vm && boot === grantor.boot),
  );
  return isWitnessed ? {handover, at: now - heldMs} : undefined;
};
