/**
 * Keeps enough voters: finds the next change of the members from the VMs that
 * announce themselves. VMs need not be listed anywhere; the id of a VM is its
 * address.
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

/** What the leader weighs. */
export interface MembershipInput {
  readonly members: Members;
  /** Identity of the leader. */
  readonly own: NodeId;
  readonly announced: readonly AnnouncedVm[];
  /** Learners that hold the log but for its last few entries. */
  readonly caughtUp: ReadonlySet<NodeId>;
  readonly targetVoters: number;
}

/** Silence after which another VM may take a voter's place, in ms. */
export const VOTER_LOST_AFTER_MS = 2500;
/** Silence after which a learner is dropped, in ms. */
export const LEARNER_LOST_AFTER_MS = 20_000;

/** @returns the next change, or undefined when the members are as they should be. */
export const nextMembershipChange = (
  input: MembershipInput,
): MemberChange | undefined =>
  findPromotion(input) ?? findRemoval(input) ?? findNewcomer(input);

/** A learner is promoted where a voter is missing, lost or replaced. */
const findPromotion = (input: MembershipInput): MemberChange | undefined => {
  const {members, targetVoters, caughtUp} = input;
  const sound = members.voters.filter(node => isSound(input, node));
  if (sound.length >= targetVoters || members.voters.length > targetVoters)
    return undefined;
  const ready = members.learners
    .filter(node => caughtUp.has(node) && isSound(input, node))
    .sort((a, b) => votersInZone(input, a) - votersInZone(input, b));
  return ready[0] && {kind: 'promote', node: ready[0]};
};

const findRemoval = (input: MembershipInput): MemberChange | undefined => {
  const {members, targetVoters, own} = input;
  const staleLearner = members.learners.find(
    node =>
      isReplaced(input, node) || silenceOf(input, node) > LEARNER_LOST_AFTER_MS,
  );
  if (staleLearner) return {kind: 'remove', node: staleLearner};
  if (members.voters.length <= targetVoters) return undefined;
  const unsound = members.voters.find(node => !isSound(input, node));
  const surplus = members.voters
    .filter(node => node !== own)
    .sort((a, b) => votersInZone(input, b) - votersInZone(input, a))[0];
  const node = unsound ?? surplus;
  return node && {kind: 'remove', node};
};

const findNewcomer = ({
  members,
  announced,
}: MembershipInput): MemberChange | undefined => {
  const known = new Set(allMembers(members));
  const fresh = announced.find(
    ({node, silentMs}) => !known.has(node) && silentMs < VOTER_LOST_AFTER_MS,
  );
  return fresh && {kind: 'add_learner', node: fresh.node};
};

/** Whether a node is the leader, or its VM announces it and was heard lately. */
const isSound = (input: MembershipInput, node: NodeId): boolean =>
  node === input.own ||
  (!isReplaced(input, node) && silenceOf(input, node) < VOTER_LOST_AFTER_MS);

/** Whether the VM of a node announces another identity, so that its disk is lost. */
const isReplaced = ({announced}: MembershipInput, node: NodeId): boolean =>
  announced.some(other => other.vm === vmOfNode(node) && other.node !== node);

const silenceOf = ({announced, own}: MembershipInput, node: NodeId): number => {
  if (node === own) return 0;
  const known = announced.find(other => other.node === node);
  return known?.silentMs ?? Number.POSITIVE_INFINITY;
};

/** Sound voters in the availability zone of a node. */
const votersInZone = (input: MembershipInput, node: NodeId): number => {
  const zoneOf = (other: NodeId) =>
    input.announced.find(({node: known}) => known === other)?.zone;
  const zone = zoneOf(node);
  return input.members.voters.filter(
    voter => zoneOf(voter) === zone && isSound(input, voter),
  ).length;
};
