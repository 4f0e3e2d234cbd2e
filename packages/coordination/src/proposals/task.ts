/** Forwarding of writes from any VM to the leader of the cell log. */
import {
  CellError,
  toCellError,
  type CellCommand,
  type CellResult,
  type ReasonCode,
  type VmId,
} from '@primrosewick/state';
import type {ProposeReply} from '@primrosewick/protocol';
import {
  pause,
  type Clock,
  type Metrics,
  type PeerCaller,
} from '@primrosewick/transport';

/** Options of the proposer. */
export interface ProposerOptions {
  readonly vm: VmId;
  /** Voter VMs of the log, nearest first. */
  readonly voters: readonly VmId[];
  readonly peers: PeerCaller;
  /** Proposes to the voter on this VM; null without one. */
  readonly proposeLocally:
    ((command: CellCommand) => Promise<ProposeReply>) | null;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Time after which a proposal is abandoned, in ms. */
  readonly proposeTimeoutMs: number;
  /** Maximum number of pending proposals. */
  readonly maxPending: number;
}

const RETRY_PAUSE_MS = 100;

/**
 * Forwards commands to the leader. Every command may be resent, because the
 * cell state gives a repeated command the same result as the first time.
 */
export class Proposer {
  private leader: VmId | null = null;
  private waiting = 0;

  constructor(private readonly options: ProposerOptions) {}

  /**
   * Proposes a command, and retries until it is answered or timed out.
   * @throws CellError `log_unavailable` when it was certainly not accepted, or `log_outcome_unknown`.
   */
  async propose(command: CellCommand): Promise<CellResult> {
    if (this.waiting >= this.options.maxPending)
      throw new CellError({code: 'log_overloaded', step: 'propose'});
    this.waiting++;
    try {
      return await this.proposeWithRetries(command);
    } finally {
      this.waiting--;
    }
  }

  private async proposeWithRetries(command: CellCommand): Promise<CellResult> {
    const {clock, proposeTimeoutMs} = this.options;
    const deadline = clock.now() + proposeTimeoutMs;
    let mayBeAccepted = false;
    for (let round = 0; ; round++) {
      for (const vm of this.candidates()) {
        const reply = await this.proposeTo(vm, command);
        if (reply.kind === 'result') return reply.result;
        mayBeAccepted ||= reply.kind === 'unknown';
        if (clock.now() >= deadline) throw this.timeoutError(mayBeAccepted);
        if (
          reply.kind === 'not_leader' &&
          reply.leader &&
          reply.leader !== vm
        ) {
          this.leader = reply.leader;
          break;
        }
      }
      this.options.metrics.addRetry('proposal');
      if (round > 0) await pause(clock, RETRY_PAUSE_MS);
    }
  }

  private timeoutError(mayBeAccepted: boolean): CellError {
    const code: ReasonCode = mayBeAccepted
      ? 'log_outcome_unknown'
      : 'log_unavailable';
    return new CellError({
      code,
      step: 'propose',
      peer: this.leader ?? 'voters',
    });
  }

  private candidates(): VmId[] {
    const {voters} = this.options;
    return this.leader
      ? [this.leader, ...voters.filter(vm => vm !== this.leader)]
      : [...voters];
  }

  private async proposeTo(vm: VmId, command: CellCommand): Promise<Attempt> {
    const {peers, proposeLocally} = this.options;
    const isLocal = vm === this.options.vm;
    if (isLocal && !proposeLocally) return {kind: 'not_leader', leader: null};
    try {
      const reply =
        isLocal && proposeLocally
          ? await proposeLocally(command)
          : await peers.call(vm, 'propose', {command});
      return toAttempt(reply);
    } catch (err) {
      const isSent =
        toCellError(err, 'propose', vm).code !== 'peer_unreachable';
      if (this.leader === vm) this.leader = null;
      return isSent ? {kind: 'unknown'} : {kind: 'not_leader', leader: null};
    }
  }
}

type Attempt =
  | {readonly kind: 'result'; readonly result: CellResult}
  | {readonly kind: 'not_leader'; readonly leader: VmId | null}
  | {readonly kind: 'unknown'};

const toAttempt = (reply: ProposeReply): Attempt => {
  if (reply.kind !== 'refused') return reply;
  return reply.error.outcome === 'unknown'
    ? {kind: 'unknown'}
    : {kind: 'not_leader', leader: null};
};

/**
 * Proposes a command to the voter on this VM.
 * @returns the result as a reply to another VM.
 */
export const replyToProposal = async (
  propose: (command: CellCommand) => Promise<CellResult>,
  leaderVm: () => VmId | null,
  command: CellCommand,
): Promise<ProposeReply> => {
  try {
    return {kind: 'result', result: await propose(command)};
  } catch (err) {
    const error = toCellError(err, 'propose');
    if (error.code === 'not_leader')
      return {kind: 'not_leader', leader: leaderVm()};
    return {kind: 'refused', error: error.toBody()};
  }
};
