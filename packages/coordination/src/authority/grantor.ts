import {NO_EPOCH, type Epoch, type VmId} from '@primrosewick/state';
import type {
  AuthorityMessage,
  AuthorityReply,
  LastEpoch,
  ReleaseReason,
  LeaderHandover,
} from '@primrosewick/protocol';
import {assertNever} from '@primrosewick/state';

/** Options of a grantor. */
export interface GrantorOptions {
  /** Random id of this process, made at its start. */
  readonly boot: string;
  /** Monotonic time of the start, in ms. */
  readonly startedAt: number;
  /** Earliest time of a grant, as leases granted before a restart may last until then. */
  readonly earliestGrantAt: number;
  /** Added to each lease to allow for clock drift, in ms. */
  readonly driftMs: number;
}

/** An epoch for which a lease was granted, and the handover of its leader. */
interface GrantedEpoch {
  readonly epoch: Epoch;
  readonly left?: {readonly succession: LeaderHandover; readonly at: number};
}

/**
 * Grants the lease of one zone to one VM at a time. A grant lasts until it has
 * expired by the clock of this VM or its holder has released it.
 */
export class Grantor {
  private holder: VmId | null = null;
  private epoch: Epoch = NO_EPOCH;
  private seenEpoch: Epoch = NO_EPOCH;
  private deadline = Number.NEGATIVE_INFINITY;
  /** Highest epoch that its leader or candidate has released. */
  private releasedEpoch: Epoch = NO_EPOCH;
  /** Unknown after a restart until a vote is granted again. */
  private lastGranted: GrantedEpoch | undefined;
  /** Value of `lastGranted` before the last vote that was granted. */
  private previouslyGranted: GrantedEpoch | undefined;

  constructor(private readonly options: GrantorOptions) {}

  /** Handles a message of a candidate or leader. */
  handle(from: VmId, message: AuthorityMessage, now: number): AuthorityReply {
    const {boot, startedAt} = this.options;
    const isGranted = this.grants(from, message, now);
    const lastReign =
      isGranted && message.kind === 'vote'
        ? describeLastReign(this.previouslyGranted, now)
        : undefined;
    return {
      isGranted,
      seenEpoch: this.seenEpoch,
      leader: this.leaderAt(now),
      boot,
      upMs: now - startedAt,
      ...(lastReign ? {lastReign} : {}),
    };
  }

  /** Records an epoch seen elsewhere, such as in a worker's report. */
  noteEpoch(epoch: Epoch): void {
    if (epoch > this.seenEpoch) this.seenEpoch = epoch;
  }

  /** VM to which the lease is granted at a time, or null. */
  leaderAt(now: number): VmId | null {
    return now < this.deadline ? this.holder : null;
  }

  /** Highest epoch seen. */
  get highestEpoch(): Epoch {
    return this.seenEpoch;
  }

  private grants(from: VmId, message: AuthorityMessage, now: number): boolean {
    switch (message.kind) {
      case 'prepare':
        return this.isFreeFor(from, now);
      case 'vote':
        return this.vote(from, message.epoch, message.leaseMs, now);
      case 'renew':
        return this.renew(from, message.epoch, message.leaseMs, now);
      case 'release':
        return this.release(from, message.epoch, message.why, now);
      default:
        return assertNever(message);
    }
  }

  private isFreeFor(vm: VmId, now: number): boolean {
    if (now < this.options.earliestGrantAt) return false;
    const leader = this.leaderAt(now);
    return leader === null || leader === vm;
  }

  private vote(
    from: VmId,
    epoch: Epoch,
    leaseMs: number,
    now: number,
  ): boolean {
    const isOutdated = epoch <= this.seenEpoch || epoch <= this.releasedEpoch;
    if (!this.isFreeFor(from, now) || isOutdated) return false;
    this.recordGrant(from, epoch, leaseMs, now);
    this.previouslyGranted = this.lastGranted;
    this.lastGranted = {epoch};
    return true;
  }

  /** Handles a renewal, which proves that its epoch had a leader even if it is not granted. */
  private renew(
    from: VmId,
    epoch: Epoch,
    leaseMs: number,
    now: number,
  ): boolean {
    if (epoch < this.seenEpoch || epoch <= this.releasedEpoch) return false;
    this.noteEpoch(epoch);
    if (!this.isFreeFor(from, now)) return false;
    this.recordGrant(from, epoch, leaseMs, now);
    if (this.lastGranted && this.lastGranted.epoch !== epoch)
      this.lastGranted = {epoch};
    return true;
  }

  /** Handles a release. Its epoch is recorded, as an earlier vote or renewal may arrive later. */
  private release(
    from: VmId,
    epoch: Epoch,
    why: ReleaseReason,
    now: number,
  ): boolean {
    this.recordRelease(epoch, why, now);
    if (epoch > this.releasedEpoch) this.releasedEpoch = epoch;
    if (this.holder !== from || this.epoch !== epoch) return false;
    this.deadline = now;
    return true;
  }

  private recordRelease(epoch: Epoch, why: ReleaseReason, now: number): void {
    const isLatest =
      this.lastGranted !== undefined && epoch >= this.lastGranted.epoch;
    switch (why.kind) {
      case 'stopped':
        if (!isLatest) return;
        this.lastGranted = {
          epoch,
          left: {succession: toSuccession(why), at: now},
        };
        return;
      case 'not_led':
        if (this.lastGranted?.epoch === epoch)
          this.lastGranted = this.previouslyGranted;
        return;
      default:
        return assertNever(why);
    }
  }

  private recordGrant(
    holder: VmId,
    epoch: Epoch,
    leaseMs: number,
    now: number,
  ): void {
    this.holder = holder;
    this.epoch = epoch;
    this.seenEpoch = epoch;
    this.deadline = now + leaseMs + this.options.driftMs;
  }
}

const toSuccession = ({
  handover,
  witnesses = [],
}: Extract<ReleaseReason, {kind: 'stopped'}>): LeaderHandover => ({
  handover,
  witnesses,
});

const describeLastReign = (
  granted: GrantedEpoch | undefined,
  now: number,
): LastEpoch | undefined => {
  if (!granted) return undefined;
  const {epoch, left} = granted;
  return left
    ? {
        epoch,
        left: {succession: left.succession, heldMs: now - left.at},
      }
    : {epoch};
};
