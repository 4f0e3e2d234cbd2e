/**
 * Client requests at one entry. All times are monotonic times of the entry's
 * VM, in ms.
 */
import type {Outcome, ReasonCode} from '../errors/reasons.js';
import type {RequestId, ServiceName, UpstreamId} from '../ids/types.js';
import type {Share} from '../shares/types.js';

/** A newly arrived request. */
export interface Arrival {
  readonly id: RequestId;
  readonly service: ServiceName;
  /** Request class, from the service's profile. */
  readonly cls: string;
  readonly priority: number;
  readonly queueBound: number;
  readonly deadline: number;
  /** Whether the request may be sent again after its answer was lost. */
  readonly isIdempotent: boolean;
}

/** Why an attempt returned no answer. */
export type AttemptFailure =
  /** No byte of the request was sent. */
  | 'unreachable'
  /** The upstream reported that it did not accept the request. */
  | 'refused'
  /** The connection broke after part of the request may have been sent. */
  | 'lost'
  /** The answer exceeded its limit. */
  | 'too_large';

/** Shares of one zone, from a reply of its leader. */
export interface ShareUpdate {
  /**
   * Zone whose leader lends; shares of different zones are tracked separately.
   */
  readonly lender: string;
  readonly shares: readonly Share[];
  readonly deadline: number;
  /** Whether shares that are not listed are withdrawn. */
  readonly isComplete: boolean;
  /** Added to the wait for an upstream of this zone, in ms. */
  readonly roundTripMs: number;
}

/** Slots of one upstream, as reported to their lender. */
export interface HeldReport {
  readonly upstream: UpstreamId;
  readonly slots: number;
}

/** Slots that an entry could use for a service. */
export interface ServiceDemand {
  readonly service: ServiceName;
  readonly slots: number;
}

/** Inputs of the core. */
export type RequestEvent =
  | {readonly kind: 'arrive'; readonly now: number; readonly arrival: Arrival}
  | {
      readonly kind: 'shares';
      readonly now: number;
      readonly update: ShareUpdate;
    }
  | {
      readonly kind: 'answered';
      readonly now: number;
      readonly attempt: AttemptId;
    }
  | {
      readonly kind: 'failed';
      readonly now: number;
      readonly attempt: AttemptId;
      readonly failure: AttemptFailure;
    }
  /** The upstream has confirmed that the attempt no longer runs. */
  | {readonly kind: 'ended'; readonly now: number; readonly attempt: AttemptId}
  | {readonly kind: 'cancel'; readonly now: number; readonly id: RequestId}
  | {
      readonly kind: 'close_service';
      readonly now: number;
      readonly service: ServiceName;
    }
  /** Renews the shares of a lender and returns idle slots. */
  | {
      readonly kind: 'renew';
      readonly now: number;
      readonly lender: string;
      readonly services: readonly ServiceName[];
      /** Present when the lender belongs to another zone. */
      readonly foreign?: CrossZoneTerms;
    }
  | {readonly kind: 'tick'; readonly now: number};

/**
 * Cost of a lender in another zone, for the decision whether to borrow there.
 */
export interface CrossZoneTerms {
  /** Round trip to the zone, in ms. */
  readonly roundTripMs: number;
  /**
   * Services that may spill there, with the reduction in wait that justifies
   * it, in ms.
   */
  readonly margins: ReadonlyArray<{
    readonly service: ServiceName;
    readonly marginMs: number;
  }>;
}

/** Id of one attempt, as "request/number". */
export type AttemptId = string;

/** Effects of an event. */
export type RequestEffect =
  | {
      readonly kind: 'dispatch';
      readonly id: RequestId;
      readonly attempt: AttemptId;
      readonly upstream: UpstreamId;
      readonly address: string;
      /** Time after which the share no longer covers the dispatch. */
      readonly shareDeadline: number;
      /** Time from arrival to dispatch, in ms. */
      readonly waitMs: number;
    }
  | {
      readonly kind: 'refuse';
      readonly id: RequestId;
      readonly code: ReasonCode;
      /**
       * `unknown` if an earlier attempt may have run, whatever the default of
       * `code`.
       */
      readonly outcome: Outcome;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'deliver';
      readonly id: RequestId;
      readonly attempt: AttemptId;
    }
  /**
   * Requests the upstream to end an attempt whose answer is no longer awaited.
   */
  | {
      readonly kind: 'end_attempt';
      readonly attempt: AttemptId;
      readonly address: string;
    }
  | {
      readonly kind: 'retry';
      readonly id: RequestId;
      readonly why: 'unreachable' | 'refused_by_upstream' | 'lost_idempotent';
    }
  | {readonly kind: 'drop_answer'; readonly attempt: AttemptId}
  /** Reports held and wanted slots to the lender. */
  | {
      readonly kind: 'sync';
      readonly lender: string;
      readonly held: readonly HeldReport[];
      readonly wants: readonly ServiceDemand[];
    }
  /** Demand exceeds the shares; more are requested from the leader at once. */
  | {readonly kind: 'borrow'};

/** Reason for a decision, for `explain`. */
export interface DecisionNote {
  readonly subject: string;
  readonly reason: string;
}

/** Effects of one event, with the reasons for them. */
export interface RequestStep {
  readonly effects: readonly RequestEffect[];
  readonly notes: readonly DecisionNote[];
}

/** Limits of the request core. */
export interface RequestLimits {
  /** Maximum number of open requests, queued or running. */
  readonly maxRequests: number;
  /**
   * Retries allowed per arrival; bounds retries to this fraction of the load.
   */
  readonly retryRatio: number;
  /** Retries allowed in a burst. */
  readonly retryBurst: number;
  /** Maximum attempts of one request, including the first. */
  readonly maxAttempts: number;
  /**
   * Time before the expiry of a share from which it is no longer used, in ms.
   */
  readonly shareSafetyMs: number;
  /** Slots kept beyond those in use and queued for, for the next arrivals. */
  readonly spareSlots: number;
}

/** Default limits. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = {
  maxRequests: 2000,
  retryRatio: 0.1,
  retryBurst: 10,
  maxAttempts: 3,
  shareSafetyMs: 50,
  spareSlots: 2,
};
