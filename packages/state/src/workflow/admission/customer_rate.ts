/**
 * Counts the accepted submissions of each customer in a sliding window. Load
 * pattern: one customer sends a multiple of its usual rate for some seconds,
 * while the others send theirs.
 */
import type {Customer} from '../../bundle/types.js';
import type {CustomerName} from '../../ids/types.js';
import type {WorkflowState} from '../types.js';

/** Terms of the rates of all customers. */
export interface RateTerms {
  /** Length of the sliding window, in ms. */
  readonly windowMs: number;
  /** Fraction of its rate by which a customer may exceed it. */
  readonly overage: number;
  /** Submissions that a customer may send in addition, per window. */
  readonly slack: number;
}

/** Terms that are in force without settings of their own. */
export const DEFAULT_RATE_TERMS: RateTerms = {
  windowMs: 5000,
  overage: 0.1,
  slack: 20,
};

const MS_PER_S = 1000;
/** Entries that a window is divided into, which bounds the memory. */
const ENTRIES_PER_WINDOW = 1000;

/** Submissions that were accepted within one entry of the window. */
interface Entry {
  /** Wall time of the first of them, in ms since 1970. */
  readonly at: number;
  count: number;
}

/** Submissions per window that are within the rate of a customer. */
export const rateLimitOf = (
  {weight}: Pick<Customer, 'weight'>,
  {windowMs, overage, slack}: RateTerms,
): number =>
  weight > 0
    ? weight * (windowMs / MS_PER_S) * (1 + overage) + slack
    : Number.POSITIVE_INFINITY;

/**
 * Accepted submissions by customer, derived from the records. Where the wall
 * clock was set back, what was accepted at later times is not counted.
 */
export class CustomerRates {
  private readonly accepted = new Map<CustomerName, Entry[]>();

  constructor(readonly terms: RateTerms = DEFAULT_RATE_TERMS) {}

  /** Number of entries of all customers. */
  get entryCount(): number {
    let count = 0;
    for (const entries of this.accepted.values()) count += entries.length;
    return count;
  }

  clear(): void {
    this.accepted.clear();
  }

  /** Counts an accepted workflow, if it has a customer. */
  noteAccepted({
    customer,
    acceptedAt,
  }: Pick<WorkflowState, 'customer' | 'acceptedAt'>): void {
    if (customer !== undefined) this.note(customer, acceptedAt);
  }

  /** Counts a submission that was accepted at a wall time in ms since 1970. */
  note(customer: CustomerName, at: number): void {
    let entries = this.accepted.get(customer);
    if (!entries) {
      this.removeOld(at);
      entries = [];
      this.accepted.set(customer, entries);
    }
    while ((entries.at(-1)?.at ?? at) > at) entries.pop();
    const oldCount = entries.findIndex(entry => this.leavesAt(entry) > at);
    entries.splice(0, oldCount < 0 ? entries.length : oldCount);
    const last = entries.at(-1);
    const widthMs = this.terms.windowMs / ENTRIES_PER_WINDOW;
    if (last && at < last.at + widthMs) last.count++;
    else entries.push({at, count: 1});
  }

  /** Submissions accepted in the window that ends at a wall time. */
  countOf(customer: CustomerName, wall: number): number {
    let count = 0;
    for (const entry of this.entriesAt(customer, wall)) count += entry.count;
    return count;
  }

  /**
   * Wall time from which one more submission is within a limit, which is not
   * after `wall` if it is now.
   */
  roomAt(customer: CustomerName, limit: number, wall: number): number {
    let excess = this.countOf(customer, wall) + 1 - limit;
    let roomAt = wall;
    for (const entry of this.entriesAt(customer, wall)) {
      if (excess <= 0) break;
      excess -= entry.count;
      roomAt = this.leavesAt(entry);
    }
    return roomAt;
  }

  /** Entries of a customer in the window that ends at a wall time, oldest first. */
  private entriesAt(customer: CustomerName, wall: number): Entry[] {
    return (this.accepted.get(customer) ?? []).filter(
      entry => entry.at <= wall && this.leavesAt(entry) > wall,
    );
  }

  private leavesAt({at}: Entry): number {
    return at + this.terms.windowMs;
  }

  /** Removes the customers of which nothing was accepted within a window. */
  private removeOld(wall: number): void {
    for (const [customer, entries] of this.accepted) {
      const last = entries.at(-1);
      if (!last || this.leavesAt(last) <= wall) this.accepted.delete(customer);
    }
  }
}
