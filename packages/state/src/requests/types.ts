/**
 * Requests of clients at one entry. All times are monotonic times of the
 * entry's VM, in ms.
 */
import type {Outcome, ReasonCode} from '../errors/reasons.js';
import type {RequestId, ServiceName, UpstreamId} from '../ids/types.js';
import type {Share} from '../shares/types.js';

/** A request as it arrives. */
export interface Arrival {
  readonly id: RequestId;
  readonly service: ServiceName;
  /** Class of the profile that the request belongs to. */
  readonly cls: string;
  readonly priority: number;
  readonly queueBound: number;
  readonly deadline: number;
  /** Whether the request may be sent again after a lost answer. */
  readonly isIdempotent: boolean;
}

/** Why an attempt brought no answer. */
export type AttemptFailure =
  /** No byte of the request left. */
  | 'unreachable'
  /** The upstream said that it did not take the request. */
  | 'refused'
  /** The connection broke after a byte may have left. */
  | 'lost'
  /** The answer exceeded its limit. */
  | 'too_large';

/** Shares of one zone, as its leader answered. */
export interface ShareUpdate {
  /** Zone that lends; shares of different zones are kept apart. */
  readonly lender: string;
  readonly shares: readonly Share[];
  readonly deadline: number;
  /** Whether shares left out are withdrawn. */
  readonly isComplete: boolean;
  /** Added to the wait for an upstream of this zone, in ms. */
  readonly roundTripMs: number;
}

/** A share as it is reported to its lender. */
export interface HeldReport {
  readonly upstream: UpstreamId;
  readonly slots: number;
}

/** Slots that a service could use. */
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
  /** The upstream has confirmed that nothing of the attempt runs. */
  | {readonly kind: 'ended'; readonly now: number; readonly attempt: AttemptId}
  | {readonly kind: 'cancel'; readonly now: number; readonly id: RequestId}
  | {
      readonly kind: 'close_service';
      readonly now: number;
      readonly service: ServiceName;
    }
  /** The shares of a lender are to be renewed; idle slots are returned. */
  | {
      readonly kind: 'renew';
      readonly now: number;
      readonly lender: string;
      readonly services: readonly ServiceName[];
      /** Present when the lender belongs to another zone. */
      readonly foreign?: CrossZoneTerms;
    }
  | {readonly kind: 'tick'; readonly now: number};

/** What a lender in another zone costs, for the choice whether to borrow there. */
export interface CrossZoneTerms {
  /** Round trip to the zone, in ms. */
  readonly roundTripMs: number;
  /** Services that may be served there, and the gain in wait that is worth it, in ms. */
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
      /** Whether an earlier attempt may have run, whatever the reason says. */
      readonly outcome: Outcome;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'deliver';
      readonly id: RequestId;
      readonly attempt: AttemptId;
    }
  /** Ask the upstream to end an attempt that nobody waits for. */
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
  /** What to tell the lender. */
  | {
      readonly kind: 'sync';
      readonly lender: string;
      readonly held: readonly HeldReport[];
      readonly wants: readonly ServiceDemand[];
    }
  /** Demand exceeds the shares; ask the leader now. */
  | {readonly kind: 'borrow'};

/** Why a decision was made, for `explain`. */
export interface DecisionNote {
  readonly subject: string;
  readonly reason: string;
}

/** Effects and reasons of one event. */
export interface RequestStep {
  readonly effects: readonly RequestEffect[];
  readonly notes: readonly DecisionNote[];
}

/** Bounds of the core. */
export interface RequestLimits {
  /** Requests held at once, waiting or running. */
  readonly maxRequests: number;
  /** Share of arrivals that may be followed by a retry. */
  readonly retryRatio: number;
  /** Retries allowed in a burst. */
  readonly retryBurst: number;
  /** Attempts of one request, the first included. */
  readonly maxAttempts: number;
  /** Time before the end of a share at which its use stops, in ms. */
  readonly shareSafetyMs: number;
  /** Slots kept beyond those in use, for the next arrivals. */
  readonly spareSlots: number;
}

/** Bounds used where none are given. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = {
  maxRequests: 2000,
  retryRatio: 0.1,
  retryBurst: 10,
  maxAttempts: 3,
  shareSafetyMs: 50,
  spareSlots: 2,
};
