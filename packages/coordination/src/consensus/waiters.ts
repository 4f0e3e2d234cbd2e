/** Pending callers of proposals, membership changes and reads on one node. */
import {CellError} from '@primrosewick/state';
import type {Entry, TokenAnswer} from './types.js';

/** A pending caller. */
export interface Waiter<R> {
  readonly resolve: (result: R | {readonly index: number}) => void;
  readonly reject: (err: CellError) => void;
}

interface IndexedWaiter<R> extends Waiter<R> {
  readonly term: number;
}

/** Pending callers by token, and by index once their entry is appended. */
export class Waiters<R> {
  private readonly byToken = new Map<number, Waiter<R>>();
  private readonly byIndex = new Map<number, IndexedWaiter<R>>();
  private nextToken = 1;

  /** Number of pending callers. */
  get size(): number {
    return this.byToken.size + this.byIndex.size;
  }

  /** Adds a caller, and returns its token. */
  add(waiter: Waiter<R>): number {
    const token = this.nextToken++;
    this.byToken.set(token, waiter);
    return token;
  }

  /** Handles the core's answer for a token. */
  answer(answer: TokenAnswer): void {
    const waiter = this.byToken.get(answer.token);
    this.byToken.delete(answer.token);
    if (!waiter) return;
    switch (answer.kind) {
      case 'appended':
        this.byIndex.set(answer.index, {...waiter, term: answer.term});
        return;
      case 'read_ready':
        return waiter.resolve({index: answer.index});
      case 'refused':
        return waiter.reject(rejectionError(answer.why));
    }
  }

  /** Settles the caller of an entry that is committed and applied. */
  settleEntry<C>(entry: Entry<C>, result: R | undefined): void {
    const waiter = this.byIndex.get(entry.index);
    this.byIndex.delete(entry.index);
    if (waiter?.term === entry.term)
      waiter.resolve(result ?? {index: entry.index});
    else
      waiter?.reject(
        new CellError({
          code: 'log_outcome_unknown',
          step: 'commit',
          detail: 'another leader took over; the write was not committed',
        }),
      );
  }

  /** Rejects the callers of entries up to an index, which a snapshot has replaced. */
  rejectUpTo(index: number): void {
    for (const [at, waiter] of this.byIndex) {
      if (at > index) continue;
      this.byIndex.delete(at);
      waiter.reject(
        new CellError({code: 'log_outcome_unknown', step: 'commit'}),
      );
    }
  }

  /** Rejects all callers; whether their entries were committed is unknown. */
  rejectAll(code: 'stopping' | 'storage_failed' | 'log_outcome_unknown'): void {
    const waiters = [...this.byToken.values(), ...this.byIndex.values()];
    this.byToken.clear();
    this.byIndex.clear();
    for (const waiter of waiters)
      waiter.reject(new CellError({code, step: 'propose', outcome: 'unknown'}));
  }
}

const rejectionError = (
  why: 'not_leader' | 'change_pending' | 'overloaded',
): CellError => {
  const code = why === 'overloaded' ? 'log_overloaded' : 'not_leader';
  return new CellError({code, step: 'propose', detail: why});
};
