import {reviverOf} from '../utils/image.js';

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by one arrival. */
  readonly ratio: number;
  /** Most retries saved up. */
  readonly burst: number;
}

/**
 * Token bucket that is filled by arrivals, so that retries stay a fixed part
 * of the load and cannot multiply an overload.
 */
export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.burst;
  }

  /** Earns a part of a retry. */
  addArrival(): void {
    this.tokens = Math.min(
      this.options.burst,
      this.tokens + this.options.ratio,
    );
  }

  /** @returns whether a retry may be made; it is then spent. */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}

/** Makes a budget from its plain state. */
export const reviveRetryBudget = reviverOf(RetryBudget.prototype);
