/**
 * Authority over the capacity of one zone: a leader elected by the VMs of the
 * zone, which holds a lease granted by a majority of them.
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

/** Timing of the leader's lease. */
export interface AuthorityTiming {
  /** Length of the leader's lease, in ms. */
  readonly leaseMs: number;
  /** Interval at which the leader renews its lease, in ms. */
  readonly renewMs: number;
  /** Added to the lease by grantors to allow for clock drift, in ms. */
  readonly driftMs: number;
  /** Time before the end of its lease at which the leader stops acting, in ms. */
  readonly safetyMs: number;
}

/** Default timing. */
export const DEFAULT_AUTHORITY_TIMING: AuthorityTiming = {
  leaseMs: 3000,
  renewMs: 800,
  driftMs: 200,
  safetyMs: 100,
};

/** VMs that grant the lease of one zone. */
export interface AuthorityGroup {
  readonly zone: ZoneId;
  /** VMs of the zone, plus a witness VM if their number is even. */
  readonly grantors: readonly VmId[];
  /** VMs of the zone; only these may become leader. */
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
      /** Shares that the leader has lent out. */
      readonly handover: ShareHandover;
    };

/** A message to a grantor. */
export interface AuthoritySend {
  readonly to: VmId;
  readonly round: number;
  readonly message: AuthorityMessage;
}

/** Change of this VM's role. */
export type AuthorityChange =
  | {
      readonly kind: 'elected';
      readonly epoch: Epoch;
      /** Shares lent by the previous leader, if it handed them over. */
      readonly inherited?: InheritedShares;
    }
  | {readonly kind: 'deposed'; readonly epoch: Epoch; readonly why: string};

/** Effects of one input. */
export interface AuthorityEffects {
  readonly sends: readonly AuthoritySend[];
  readonly changes: readonly AuthorityChange[];
}

const VMS_PER_COUNTER = 512;

/** Makes an epoch that is unique to the VM with an ordinal. */
export const makeEpoch = (counter: number, ordinal: number): Epoch =>
  asEpoch(counter * VMS_PER_COUNTER + ordinal);

/** Counter of an epoch. */
export const counterOf = (epoch: Epoch): number =>
  Math.floor(epoch / VMS_PER_COUNTER);
