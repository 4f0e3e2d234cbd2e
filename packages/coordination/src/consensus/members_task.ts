/** Founding of the cell, and maintenance of one voter for each VM with a disk. */
import type {HelloReply} from '@primrosewick/protocol';
import type {NodeId, VmId} from '@primrosewick/state';
import type {PeerCaller} from '@primrosewick/transport';
import {nextMemberChange, type AnnouncedNode} from './members.js';
import type {ConsensusTask} from './task.js';

/** Queries the identities of VMs; VMs that do not reply are omitted. */
export const queryIdentities = async (
  peers: PeerCaller,
  vms: readonly VmId[],
  boot: string,
): Promise<HelloReply[]> => {
  const replies = await Promise.all(
    vms.map(vm => peers.call(vm, 'hello', {boot}).catch(() => undefined)),
  );
  return replies.filter(reply => reply !== undefined);
};

/** Input for the decision of a VM with a new data folder. */
export interface FoundingInput {
  readonly vm: VmId;
  /** VMs with a disk, in the order of the settings. */
  readonly voterVms: readonly VmId[];
  /** Replies of the other VMs. */
  readonly replies: readonly HelloReply[];
}

/**
 * Whether a VM with a new data folder may found the cell: it is the first
 * voter, all others have replied, and no VM has any state. A VM that lost its
 * disk therefore never founds a second cell.
 */
export const mayFound = ({vm, voterVms, replies}: FoundingInput): boolean => {
  const isFirst = voterVms[0] === vm;
  const answered = new Set(replies.map(reply => reply.vm));
  const hasAll = voterVms.every(other => other === vm || answered.has(other));
  return isFirst && hasAll && replies.every(reply => !reply.hasState);
};

/** Options of `repairMembers`. */
export interface RepairOptions {
  readonly task: Pick<
    ConsensusTask<unknown, unknown>,
    'status' | 'changeMembers'
  >;
  readonly own: AnnouncedNode;
  readonly voterVms: readonly VmId[];
  readonly peers: PeerCaller;
  readonly boot: string;
}

/**
 * Makes one membership change towards a voter for each VM with a disk, if this
 * node is the leader.
 * @returns whether a change was made.
 */
export const repairMembers = async (
  options: RepairOptions,
): Promise<boolean> => {
  const {task, own, voterVms, peers, boot} = options;
  if (task.status.role !== 'leader') return false;
  const others = voterVms.filter(vm => vm !== own.vm);
  const replies = await queryIdentities(peers, others, boot);
  const announced = [
    own,
    ...replies.flatMap(({vm, node}) => (node ? [{vm, node}] : [])),
  ];
  const {members, commitIndex, matches} = task.status;
  const caughtUp = new Set<NodeId>(
    matches.filter(({index}) => index >= commitIndex).map(({node}) => node),
  );
  const change = nextMemberChange({members, announced, caughtUp});
  if (!change) return false;
  await task.changeMembers(change);
  return true;
};
