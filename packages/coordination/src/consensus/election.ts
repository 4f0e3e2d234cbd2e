/** Elections: pre-votes, votes, and replies to vote requests. */
import type {NodeId} from '@primrosewick/state';
import type {ConsensusContext, MessageOf} from './context.js';
import {majorityOf} from './members.js';
import type {ConsensusMessage} from './types.js';

/** Part of the core that elects a leader. */
export class Election<C> {
  constructor(
    private readonly context: ConsensusContext<C>,
    private readonly onElected: () => void,
  ) {}

  /** Requests pre-votes or votes from all voters. */
  campaign(isPreVote: boolean, isTransfer: boolean): void {
    if (!this.context.isVoter(this.context.id)) return;
    this.context.role = isPreVote ? 'pre_candidate' : 'candidate';
    this.context.leader = null;
    if (!isPreVote)
      this.context.setHardState(this.context.term + 1, this.context.id);
    this.context.resetElectionDeadline();
    if (isPreVote) this.context.scheduleQuickElection();
    this.context.votes.clear();
    this.context.votes.add(this.context.id);
    const request = this.makeVoteRequest(isPreVote, isTransfer);
    for (const node of this.context.log.members.voters)
      this.context.send(node, request);
    this.countVotes();
  }

  private makeVoteRequest(
    isPreVote: boolean,
    isTransfer: boolean,
  ): ConsensusMessage<C> {
    return {
      kind: 'vote_request',
      term: isPreVote ? this.context.term + 1 : this.context.term,
      lastIndex: this.context.log.lastIndex,
      lastTerm: this.context.log.lastTerm,
      isPreVote,
      isTransfer,
    };
  }

  /** Handles a request for a vote or pre-vote. */
  onVoteRequest(from: NodeId, message: MessageOf<C, 'vote_request'>): void {
    if (!message.isTransfer && this.context.hasLiveLeader()) {
      return this.replyVote(from, message, false);
    }
    const isComplete = this.context.log.isCoveredBy(
      message.lastIndex,
      message.lastTerm,
    );
    if (message.isPreVote)
      return this.replyVote(
        from,
        message,
        isComplete && message.term > this.context.term,
      );
    const canVote =
      this.context.votedFor === null || this.context.votedFor === from;
    const isGranted =
      isComplete && canVote && message.term === this.context.term;
    if (isGranted) this.grantVote(from);
    this.replyVote(from, message, isGranted);
  }

  private grantVote(candidate: NodeId): void {
    if (this.context.votedFor !== candidate)
      this.context.setHardState(this.context.term, candidate);
    this.context.resetElectionDeadline();
  }

  /** Replies to a request for a vote or pre-vote. */
  replyVote(
    to: NodeId,
    request: MessageOf<C, 'vote_request'>,
    isGranted: boolean,
  ): void {
    const {isPreVote} = request;
    const term = isPreVote && isGranted ? request.term : this.context.term;
    this.context.send(to, {kind: 'vote_reply', term, isPreVote, isGranted});
  }

  /** Counts a vote or pre-vote. */
  onVoteReply(from: NodeId, message: MessageOf<C, 'vote_reply'>): void {
    const expectedRole = message.isPreVote ? 'pre_candidate' : 'candidate';
    const expectedTerm = message.isPreVote
      ? this.context.term + 1
      : this.context.term;
    if (
      !message.isGranted ||
      this.context.role !== expectedRole ||
      message.term !== expectedTerm
    )
      return;
    this.context.votes.add(from);
    this.countVotes();
  }

  private countVotes(): void {
    const granted = this.context.log.members.voters.filter(node =>
      this.context.votes.has(node),
    );
    if (granted.length < majorityOf(this.context.log.members)) return;
    if (this.context.role === 'pre_candidate') this.campaign(false, false);
    else if (this.context.role === 'candidate') this.onElected();
  }
}
