/**
 * Shares: slots of upstreams that a zone's leader lends to entries. All times
 * are monotonic times of the leader, in ms.
 */
import type {ServiceName, UpstreamId} from '../ids/types.js';
import type {Branded} from '../ids/types.js';

/** Holder of shares: the VM of an entry and the incarnation of its process. */
export type HolderId = Branded<string, 'HolderId'>;

/** Requests in flight at an upstream, by the holder that sent them. */
export interface InFlight {
  readonly holder: HolderId;
  readonly requests: number;
}

/** An announcement of an upstream. */
export interface UpstreamReport {
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  readonly state: 'serving' | 'leaving';
  readonly seq: number;
  readonly inFlight: readonly InFlight[];
}

/** Slots that an entry holds and wants. */
export interface ShareRequest {
  readonly holder: HolderId;
  readonly seq: number;
  readonly held: ReadonlyArray<{
    readonly upstream: UpstreamId;
    readonly slots: number;
  }>;
  readonly wants: ReadonlyArray<{
    readonly service: ServiceName;
    readonly slots: number;
  }>;
  /**
   * Whether the holder belongs to another zone; such holders get slots that
   * local ones leave.
   */
  readonly isForeign: boolean;
}

/** Slots of one upstream lent to one holder. */
export interface Share {
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
}

/** Free slots of a service in the zone. */
export interface ServiceLoad {
  readonly service: ServiceName;
  readonly freeSlots: number;
}

/** Shares granted to a holder. */
export interface ShareAnswer {
  readonly shares: readonly Share[];
  readonly loads: readonly ServiceLoad[];
  /**
   * Whether shares of upstreams that are not listed are withdrawn. False for a
   * new leader, which may not know all of them yet.
   */
  readonly isComplete: boolean;
}

/** Inputs of the ledger. */
export type ShareEvent =
  | {
      readonly kind: 'announce';
      readonly now: number;
      readonly report: UpstreamReport;
    }
  | {
      readonly kind: 'sync';
      readonly now: number;
      readonly request: ShareRequest;
      readonly openServices: readonly ServiceName[];
    }
  | {readonly kind: 'expire'; readonly now: number};

/**
 * Whole ledger that a stopping leader transfers to the next one. Clocks of VMs
 * differ, so times are relative to the moment of the handover, in ms.
 */
export interface ShareHandover {
  /**
   * Age of the ledger, by which the lease expiry wait for loans from before it
   * is shortened.
   */
  readonly ageMs: number;
  readonly upstreams: ReadonlyArray<{
    readonly report: UpstreamReport;
    /** Age of the report. */
    readonly ageMs: number;
    readonly loans: ReadonlyArray<{
      readonly holder: HolderId;
      readonly slots: number;
      /**
       * Time until the holder has stopped dispatching; negative once it has.
       */
      readonly leftMs: number;
    }>;
  }>;
  readonly holders: ReadonlyArray<{
    readonly holder: HolderId;
    readonly seq: number;
    /** Time until the holder is removed. */
    readonly leftMs: number;
    readonly isForeign: boolean;
    readonly wants: ShareRequest['wants'];
  }>;
}

/**
 * A ledger from the previous leader, with the time of its handover on this VM's
 * monotonic clock, in ms.
 */
export interface InheritedShares {
  readonly handover: ShareHandover;
  readonly at: number;
}

/** Lease lengths of the ledger. */
export interface ShareTiming {
  /** Length of a share, in ms. */
  readonly shareMs: number;
  /** Added to a share's length before its slots count as returned, in ms. */
  readonly marginMs: number;
  /** Time after which a silent upstream is dropped, in ms. */
  readonly announceMs: number;
}

/** Default lease lengths. */
export const DEFAULT_SHARE_TIMING: ShareTiming = {
  shareMs: 3000,
  marginMs: 1000,
  announceMs: 5000,
};

/** State of one upstream at the leader, for status. */
export interface UpstreamView {
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly address: string;
  readonly slots: number;
  readonly lent: number;
  readonly inFlight: number;
  readonly state: 'serving' | 'leaving';
}
