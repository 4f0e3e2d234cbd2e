import {processWork} from '@primrosewick/transport';
import type {ConsensusCore} from './core.js';
import type {ConsensusEffects, ConsensusInput} from './types.js';

/**
 * Feeds a core with all inputs that arrived while a sync was under way, and
 * merges their effects, so that one sync serves them all.
 */
export class InputBatcher<C> {
  private queue: Array<ConsensusInput<C>> = [];

  constructor(private readonly core: ConsensusCore<C>) {}

  /** Adds an input. */
  offer(input: ConsensusInput<C>): void {
    this.queue.push(input);
  }

  /** Whether inputs wait. */
  get hasInput(): boolean {
    return this.queue.length > 0;
  }

  /** Steps all waiting inputs. */
  run(): ConsensusEffects<C> {
    return processWork.measure('consensus', () => this.step());
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
    const last = inputs.findLastIndex(({kind}) => kind === 'propose');
    inputs.forEach((input, index) => {
      const isMore = input.kind === 'propose' && index < last;
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
