import {reviverOf} from '../utils/image.js';

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by one arrival. */
  readonly ratio: number;
  /** Maximum number of saved retries. */
  readonly burst: number;
}

/**
 * Token bucket filled by arrivals, so that retries stay a fixed fraction of
 * the load and cannot amplify an overload.
 */
export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.burst;
  }

  /** Adds `ratio` of a retry to the budget. */
  addArrival(): void {
    this.tokens = Math.min(
      this.options.burst,
      this.tokens + this.options.ratio,
    );
  }

  /**
   * Spends one retry.
   * @returns whether the budget allowed it.
   */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}

/** Restores a budget from its deserialized state. */
export const reviveRetryBudget = reviverOf(RetryBudget.prototype);
