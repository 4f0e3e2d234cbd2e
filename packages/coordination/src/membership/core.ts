/**
 * Keeps the target number of voters: finds the next membership change from the
 * VMs that announce themselves. No list of VMs is needed, as the id of a VM is
 * its address.
 */
import {
  vmOfNode,
  type NodeId,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {allMembers} from '../consensus/members.js';
import type {MemberChange, Members} from '../consensus/types.js';

/** A VM with a disk, as it last announced itself to the leader. */
export interface AnnouncedVm {
  readonly vm: VmId;
  readonly node: NodeId;
  readonly zone: ZoneId;
  /** Time since the last announcement, in ms. */
  readonly silentMs: number;
}

/** Input for the leader's choice of the next membership change. */
export interface MembershipInput {
  readonly members: Members;
  /** Node id of the leader. */
  readonly own: NodeId;
  readonly announced: readonly AnnouncedVm[];
  /** Learners that have all of the log but the last few entries. */
  readonly caughtUp: ReadonlySet<NodeId>;
  readonly targetVoters: number;
}

/** Time without an announcement after which a voter may be replaced, in ms. */
export const VOTER_LOST_AFTER_MS = 2500;
/** Time without an announcement after which a learner is removed, in ms. */
export const LEARNER_LOST_AFTER_MS = 20_000;

/** @returns the next change, or undefined if none is needed. */
export const nextMembershipChange = (
  input: MembershipInput,
): MemberChange | undefined =>
  findPromotion(input) ?? findRemoval(input) ?? findNewLearner(input);

/** Promotes a learner if a voter is missing, lost or replaced. */
const findPromotion = (input: MembershipInput): MemberChange | undefined => {
  const {members, targetVoters, caughtUp} = input;
  const healthy = members.voters.filter(node => isHealthy(input, node));
  if (healthy.length >= targetVoters || members.voters.length > targetVoters)
    return undefined;
  const promotable = members.learners
    .filter(node => caughtUp.has(node) && isHealthy(input, node))
    .sort((a, b) => votersInZone(input, a) - votersInZone(input, b));
  return promotable[0] && {kind: 'promote', node: promotable[0]};
};

const findRemoval = (input: MembershipInput): MemberChange | undefined => {
  const {members, targetVoters, own} = input;
  const staleLearner = members.learners.find(
    node =>
      isReplaced(input, node) ||
      silentMsOf(input, node) > LEARNER_LOST_AFTER_MS,
  );
  if (staleLearner) return {kind: 'remove', node: staleLearner};
  if (members.voters.length <= targetVoters) return undefined;
  const unhealthy = members.voters.find(node => !isHealthy(input, node));
  const surplus = members.voters
    .filter(node => node !== own)
    .sort((a, b) => votersInZone(input, b) - votersInZone(input, a))[0];
  const node = unhealthy ?? surplus;
  return node && {kind: 'remove', node};
};

const findNewLearner = ({
  members,
  announced,
}: MembershipInput): MemberChange | undefined => {
  const known = new Set(allMembers(members));
  const newVm = announced.find(
    ({node, silentMs}) => !known.has(node) && silentMs < VOTER_LOST_AFTER_MS,
  );
  return newVm && {kind: 'add_learner', node: newVm.node};
};

/** Whether a node is the leader, or its VM announced it recently. */
const isHealthy = (input: MembershipInput, node: NodeId): boolean =>
  node === input.own ||
  (!isReplaced(input, node) && silentMsOf(input, node) < VOTER_LOST_AFTER_MS);

/** Whether the VM of a node announces another identity, so the node's disk is lost. */
const isReplaced = ({announced}: MembershipInput, node: NodeId): boolean =>
  announced.some(other => other.vm === vmOfNode(node) && other.node !== node);

const silentMsOf = (
  {announced, own}: MembershipInput,
  node: NodeId,
): number => {
  if (node === own) return 0;
  const known = announced.find(other => other.node === node);
  return known?.silentMs ?? Number.POSITIVE_INFINITY;
};

/** Number of healthy voters in the availability zone of a node. */
const votersInZone = (input: MembershipInput, node: NodeId): number => {
  const zoneOf = (other: NodeId) =>
    input.announced.find(({node: known}) => known === other)?.zone;
  const zone = zoneOf(node);
  return input.members.voters.filter(
    voter => zoneOf(voter) === zone && isHealthy(input, voter),
  ).length;
};
