/**
 * Authority over the capacity of one zone: a leader elected by the VMs of the
 * zone, holding a lease on the grants of a majority of them.
 */
import {
  asEpoch,
  type Epoch,
  type InheritedShares,
  type ShareHandover,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import type {AuthorityMessage, AuthorityReply} from '@primrosewick/protocol';

/** Lease lengths of the authority. */
export interface AuthorityTiming {
  /** Length of the leader's lease, in ms. */
  readonly leaseMs: number;
  /** Interval at which the leader renews its lease, in ms. */
  readonly renewMs: number;
  /** Added by grantors to the lease, for drift of the clocks, in ms. */
  readonly driftMs: number;
  /** Time before the end of its lease at which the leader stops acting, in ms. */
  readonly safetyMs: number;
}

/** Lease lengths used where none are given. */
export const DEFAULT_AUTHORITY_TIMING: AuthorityTiming = {
  leaseMs: 3000,
  renewMs: 800,
  driftMs: 200,
  safetyMs: 100,
};

/** VMs that grant the lease of one zone. */
export interface AuthorityGroup {
  readonly zone: ZoneId;
  /** VMs of the zone, and the witness where their number is even. */
  readonly grantors: readonly VmId[];
  /** VMs of the zone; only these may lead. */
  readonly candidates: readonly VmId[];
}

/** Inputs of the core; `now` is monotonic and `wall` wall time, in ms. */
export type AuthorityInput =
  | {readonly kind: 'tick'; readonly now: number; readonly wall: number}
  | {
      readonly kind: 'reply';
      readonly now: number;
      readonly from: VmId;
      readonly round: number;
      readonly reply: AuthorityReply;
    }
  /** A receiver has seen a later epoch than the leader's own. */
  | {readonly kind: 'saw_epoch'; readonly now: number; readonly epoch: Epoch}
  | {
      readonly kind: 'resign';
      readonly now: number;
      /** What the leader has lent. */
      readonly handover: ShareHandover;
    };

/** A message to a grantor. */
export interface AuthoritySend {
  readonly to: VmId;
  readonly round: number;
  readonly message: AuthorityMessage;
}

/** Change of the own role. */
export type AuthorityChange =
  | {
      readonly kind: 'elected';
      readonly epoch: Epoch;
      /** Shares of the leader before, where that one handed them over. */
      readonly inherited?: InheritedShares;
    }
  | {readonly kind: 'deposed'; readonly epoch: Epoch; readonly why: string};

/** Effects of one input. */
export interface AuthorityEffects {
  readonly sends: readonly AuthoritySend[];
  readonly changes: readonly AuthorityChange[];
}

const VMS_PER_COUNTER = 512;

/** Builds an epoch that no other VM of the cell can build. */
export const makeEpoch = (counter: number, ordinal: number): Epoch =>
  asEpoch(counter * VMS_PER_COUNTER + ordinal);

/** Counter of an epoch. */
export const counterOf = (epoch: Epoch): number =>
  Math.floor(epoch / VMS_PER_COUNTER);
