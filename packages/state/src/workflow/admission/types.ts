/** Types of admission control. */

/**
 * Decision on a workflow, with the expected time until it is done, in ms; for
 * one that is admitted this may be an upper bound.
 */
export type Admission =
  | {readonly kind: 'admit'; readonly expectedMs: number}
  | {
      readonly kind: 'refuse';
      readonly expectedMs: number;
      /** Time after which the backlog is expected to be small enough, in ms. */
      readonly retryAfterMs: number;
    };
