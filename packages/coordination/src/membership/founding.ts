/** Founding of a new cell by a VM with an empty disk. */
import type {LinkHello} from '@primrosewick/protocol';
import type {NodeId, VmId} from '@primrosewick/state';
import type {Members, DurableState} from '../consensus/types.js';

/** Input for the founding decision of a VM with an empty disk. */
export interface FoundingConditions {
  readonly own: LinkHello;
  /** Initial VMs of the cell, the same in the settings of all VMs at the first start. */
  readonly seeds: readonly VmId[];
  /** Replies of other VMs. */
  readonly replies: readonly LinkHello[];
  /** Whether the wait for the start of all seeds is over. */
  readonly isSeedWaitOver: boolean;
}

/**
 * Chooses the initial voters. Only the first seed founds the cell, only if the
 * settings say that the whole cell is new, and only while no VM has any state; a
 * VM that lost its disk therefore never founds a second cell.
 * @returns undefined if this VM may not found the cell now.
 */
export const chooseInitialVoters = ({
  own,
  seeds,
  replies,
  isSeedWaitOver,
}: FoundingConditions): NodeId[] | undefined => {
  const [first] = [...seeds].sort();
  if (!own.mayFound || !own.node || own.vm !== first) return undefined;
  if (replies.some(reply => reply.hasState || !reply.mayFound))
    return undefined;
  const otherSeeds = replies.filter(
    ({vm, node}) => vm !== own.vm && seeds.includes(vm) && node !== null,
  );
  const hasAllSeeds = otherSeeds.length >= seeds.length - 1;
  const hasMajority = 2 * (otherSeeds.length + 1) > seeds.length;
  if (!hasAllSeeds && !(isSeedWaitOver && hasMajority)) return undefined;
  return [own.node, ...otherSeeds.map(({node}) => node!)];
};

/** Initial state of a log whose first entry names its voters. */
export const initialVotersState = <C>(
  voters: readonly NodeId[],
): DurableState<C> => {
  const members: Members = {voters, learners: []};
  return {
    hardState: {term: 1, votedFor: null},
    snapshot: null,
    entries: [{term: 1, index: 1, body: {kind: 'members', members}}],
  };
};
