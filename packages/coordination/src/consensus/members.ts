import {vmOfNode, type NodeId, type VmId} from '@primrosewick/state';
import type {MemberChange, Members} from './types.js';

/** Members of an empty log. */
export const NO_MEMBERS: Members = {voters: [], learners: []};

/** Number of voters that make a majority. */
export const majorityOf = (members: Members): number =>
  Math.floor(members.voters.length / 2) + 1;

/** Voters and learners together. */
export const allMembers = (members: Members): NodeId[] => [
  ...members.voters,
  ...members.learners,
];

const withoutNode = (nodes: readonly NodeId[], node: NodeId): NodeId[] =>
  nodes.filter(other => other !== node);

/**
 * Applies one change.
 * @returns the new members.
 */
export const applyChange = (
  members: Members,
  change: MemberChange,
): Members => {
  const {node} = change;
  const voters = withoutNode(members.voters, node);
  const learners = withoutNode(members.learners, node);
  switch (change.kind) {
    case 'add_learner':
      return {voters, learners: [...learners, node]};
    case 'promote':
      return {voters: [...voters, node], learners};
    case 'remove':
      return {voters, learners};
  }
};

/** Current identity of a VM with a disk. */
export interface AnnouncedNode {
  readonly vm: VmId;
  readonly node: NodeId;
}

/** Input for the leader's choice of the next membership change. */
export interface RepairInput {
  readonly members: Members;
  /** VMs that the settings name as voters, with their current identity. */
  readonly announced: readonly AnnouncedNode[];
  /** Learners that have every committed entry on disk. */
  readonly caughtUp: ReadonlySet<NodeId>;
}

/**
 * Finds the next change towards one voter for each announced VM. A replacement
 * is promoted only once it has all committed entries, and the identity that it
 * replaces is removed last, so that no step reduces the number of copies.
 * @returns the change, or undefined if the members match the announced VMs.
 */
export const nextMemberChange = (
  input: RepairInput,
): MemberChange | undefined => {
  const {members, announced, caughtUp} = input;
  const known = new Set(allMembers(members));
  const promotable = members.learners.find(
    node => isAnnounced(announced, node) && caughtUp.has(node),
  );
  if (promotable) return {kind: 'promote', node: promotable};
  const replaced = allMembers(members).find(node => isReplaced(input, node));
  if (replaced) return {kind: 'remove', node: replaced};
  const newNode = announced.find(({node}) => !known.has(node));
  return newNode && {kind: 'add_learner', node: newNode.node};
};

const isAnnounced = (
  announced: readonly AnnouncedNode[],
  node: NodeId,
): boolean => announced.some(other => other.node === node);

const isReplaced = (
  {members, announced}: RepairInput,
  node: NodeId,
): boolean => {
  const successor = announced.find(other => other.vm === vmOfNode(node))?.node;
  if (!successor || successor === node) return false;
  return members.learners.includes(node) || members.voters.includes(successor);
};
