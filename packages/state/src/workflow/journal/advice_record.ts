/** The adviser's answers about one step, updated by changes. */
import type {WorkerId} from '../../ids/types.js';
import {reviverOf} from '../../utils/image.js';
import type {StepAdvice, Ticket} from '../planner/types.js';
import type {AdviceChange} from './types.js';

/** Current advice about one step. */
export class AdviceRecord implements StepAdvice {
  readonly asked = new Set<WorkerId>();
  readonly allowed = new Set<WorkerId>();
  readonly tickets = new Map<WorkerId, Ticket>();
  isAsking = false;

  /**
   * Applies a change.
   * @returns false if it forgets a worker that was not known.
   */
  apply({isAsking, asked, tickets, forgotten}: AdviceChange): boolean {
    if (isAsking !== undefined) this.isAsking = isAsking;
    for (const worker of asked ?? []) this.asked.add(worker);
    for (const [worker, ticket] of tickets ?? []) {
      this.allowed.add(worker);
      this.tickets.set(worker, ticket);
    }
    return forgotten === undefined || this.forget(forgotten);
  }

  private forget(worker: WorkerId): boolean {
    const wasAsked = this.asked.delete(worker);
    const wasAllowed = this.allowed.delete(worker);
    this.tickets.delete(worker);
    return wasAsked || wasAllowed;
  }
}

/** Restores a record from its plain state. */
export const reviveAdviceRecord = reviverOf(AdviceRecord.prototype);
