import {workMeter} from '@primrosewick/transport';
import type {ConsensusCore} from './core.js';
import type {ConsensusEffects, ConsensusInput} from './types.js';

/**
 * Queues inputs that arrive during a sync, then steps the core with all of them
 * and merges their effects, so that one sync covers them all.
 */
export class InputBatcher<C> {
  private queue: Array<ConsensusInput<C>> = [];

  constructor(private readonly core: ConsensusCore<C>) {}

  /** Queues an input. */
  offer(input: ConsensusInput<C>): void {
    this.queue.push(input);
  }

  /** Whether inputs are queued. */
  get hasInput(): boolean {
    return this.queue.length > 0;
  }

  /** Steps the core with all queued inputs, and returns their merged effects. */
  run(): ConsensusEffects<C> {
    return workMeter.measure('consensus', () => this.step());
  }

  private step(): ConsensusEffects<C> {
    const inputs = this.queue;
    this.queue = [];
    const merged: ConsensusEffects<C> = {
      writes: [],
      messages: [],
      deliveries: [],
      answers: [],
    };
    const lastProposal = inputs.findLastIndex(({kind}) => kind === 'propose');
    inputs.forEach((input, index) => {
      const isMore = input.kind === 'propose' && index < lastProposal;
      const step = isMore ? {...input, isMore} : input;
      mergeInto(merged, this.core.step(step));
    });
    return merged;
  }
}

const mergeInto = <C>(
  target: ConsensusEffects<C>,
  added: ConsensusEffects<C>,
): void => {
  target.writes.push(...added.writes);
  target.messages.push(...added.messages);
  target.deliveries.push(...added.deliveries);
  target.answers.push(...added.answers);
};
