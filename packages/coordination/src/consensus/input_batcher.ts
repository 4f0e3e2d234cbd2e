import {workMeter} from '@primrosewick/transport';
import type {ConsensusCore} from './core.js';
import type {ConsensusEffects, ConsensusInput} from './types.js';

type Proposal<C> = Extract<ConsensusInput<C>, {kind: 'propose'}>;

/**
 * Queues inputs that arrive during a sync, then steps the core with all of them
 * and merges their effects, so that one sync covers them all. Proposals have a
 * queue of their own, since a leader delays them to form larger batches; the
 * replies that commit earlier proposals must not wait with them.
 */
export class InputBatcher<C> {
  private proposals: Array<Proposal<C>> = [];
  private others: Array<ConsensusInput<C>> = [];
  private queuedBytes = 0;

  constructor(private readonly core: ConsensusCore<C>) {}

  /** Queues an input. */
  offer(input: ConsensusInput<C>): void {
    if (input.kind === 'propose') this.offerProposal(input);
    else this.others.push(input);
  }

  private offerProposal(input: Proposal<C>): void {
    this.proposals.push(input);
    this.queuedBytes += input.bytes ?? 0;
  }

  /** Whether proposals are queued. */
  get hasProposals(): boolean {
    return this.proposals.length > 0;
  }

  /** Approximate size of the queued proposals, in bytes. */
  get proposalBytes(): number {
    return this.queuedBytes;
  }

  /** Whether inputs other than proposals are queued. */
  get hasOthers(): boolean {
    return this.others.length > 0;
  }

  /** Steps the core with all queued proposals, and returns their merged effects. */
  runProposals(): ConsensusEffects<C> {
    const inputs = this.proposals;
    this.proposals = [];
    this.queuedBytes = 0;
    const last = inputs.length - 1;
    return this.run(
      inputs.map((input, index) => ({...input, isMore: index < last})),
    );
  }

  /** Steps the core with all other queued inputs, and returns their merged effects. */
  runOthers(): ConsensusEffects<C> {
    const inputs = this.others;
    this.others = [];
    return this.run(inputs);
  }

  private run(inputs: ReadonlyArray<ConsensusInput<C>>): ConsensusEffects<C> {
    return workMeter.measure('consensus', () => this.step(inputs));
  }

  private step(inputs: ReadonlyArray<ConsensusInput<C>>): ConsensusEffects<C> {
    const merged: ConsensusEffects<C> = {
      writes: [],
      messages: [],
      deliveries: [],
      answers: [],
    };
    for (const input of inputs) mergeInto(merged, this.core.step(input));
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
