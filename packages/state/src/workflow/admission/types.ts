/** Types of admission control. */
import type {CustomerName} from '../../ids/types.js';
import type {WorkflowId} from '../types.js';

/** What else is known of a submission. */
export interface SubmissionTerms {
  readonly id: WorkflowId;
  /** Customer whose key the client gave; absent without one. */
  readonly customer?: CustomerName;
  /** Wall time of the decision, in ms since 1970. */
  readonly wall: number;
}

/**
 * Decision on a workflow, with the expected time until it is done, in ms; for
 * one that is admitted this may be an upper bound.
 */
export type Admission =
  | {
      readonly kind: 'admit';
      readonly expectedMs: number;
      /** Set if it is beyond the rate of its customer. */
      readonly isBeyondRate?: true;
    }
  | {
      /** Beyond the rate of its customer, while not everything can be in time. */
      readonly kind: 'over_rate';
      readonly expectedMs: number;
      /** Time after which its customer's window has room again, in ms. */
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'refuse';
      readonly expectedMs: number;
      /** Time after which the backlog is expected to be small enough, in ms. */
      readonly retryAfterMs: number;
    };
