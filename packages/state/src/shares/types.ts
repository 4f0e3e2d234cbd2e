/**
 * Shares: slots of upstreams that a zone's leader lends to entries. All times
 * are monotonic times of the leader, in ms.
 */
import type {ServiceName, UpstreamId} from '../ids/types.js';
import type {Branded} from '../ids/types.js';

/** An entry as a holder of shares: its VM and the start of its process. */
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

/** What an entry holds and wants. */
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
  /** Whether the holder belongs to another zone; such holders get what is left. */
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

/** Shares that a holder now has. */
export interface ShareAnswer {
  readonly shares: readonly Share[];
  readonly loads: readonly ServiceLoad[];
  /**
   * Whether upstreams left out are withdrawn. A leader whose epoch is new may
   * not know them all yet.
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
 * What a leader that stops hands on to the next: its whole ledger. Clocks of
 * two VMs differ, so times are given relative to the moment of the hand-over, in ms.
 */
export interface ShareHandover {
  /** Age of the ledger: loans of before it may last that much less. */
  readonly ageMs: number;
  readonly upstreams: ReadonlyArray<{
    readonly report: UpstreamReport;
    /** Age of the report. */
    readonly ageMs: number;
    readonly loans: ReadonlyArray<{
      readonly holder: HolderId;
      readonly slots: number;
      /** Time until the holder has stopped dispatching; negative once it has. */
      readonly leftMs: number;
    }>;
  }>;
  readonly holders: ReadonlyArray<{
    readonly holder: HolderId;
    readonly seq: number;
    /** Time until the holder is forgotten. */
    readonly leftMs: number;
    readonly isForeign: boolean;
    readonly wants: ShareRequest['wants'];
  }>;
}

/** A ledger that was handed over at a time of this VM's monotonic clock, in ms. */
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

/** Lease lengths used where none are given. */
export const DEFAULT_SHARE_TIMING: ShareTiming = {
  shareMs: 3000,
  marginMs: 1000,
  announceMs: 5000,
};

/** One upstream as the leader knows it, for status. */
export interface UpstreamView {
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly address: string;
  readonly slots: number;
  readonly lent: number;
  readonly inFlight: number;
  readonly state: 'serving' | 'leaving';
}
