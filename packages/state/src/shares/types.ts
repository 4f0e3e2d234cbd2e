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
