/** Asks the VM that leads now for a read index. */
import type {LinkLeaderReply} from '@primrosewick/protocol';
import {CellError, type VmId} from '@primrosewick/state';
import type {LinkCaller} from '@primrosewick/transport';

/** Options of {@link LeaderReadIndex}. */
export interface LeaderReadIndexOptions {
  readonly peers: LinkCaller;
  /** Gives a read index if this VM leads. */
  readonly askOwn: () => Promise<LinkLeaderReply<{readonly index: number}>>;
  /** The leader that this VM knows of. */
  readonly leaderVm: () => VmId | null;
}

/** Read indexes from this VM if it leads, and from the leader otherwise. */
export class LeaderReadIndex {
  constructor(private readonly options: LeaderReadIndexOptions) {}

  /**
   * @returns the index that a replica must reach for a read that began before
   *   the call.
   * @throws CellError `not_leader`, or from the call to the leader.
   */
  async ask(): Promise<number> {
    const {peers, askOwn, leaderVm} = this.options;
    const own = await askOwn();
    if (own.kind === 'ok') return own.value.index;
    const leader = leaderVm();
    if (leader === null) throw notLeader();
    const reply = await peers.call(leader, 'readIndex', {});
    if (reply.kind === 'ok') return toIndex(reply.value.index);
    if (reply.leader === null || reply.leader === leader) throw notLeader();
    const redirected = await peers.call(reply.leader, 'readIndex', {});
    if (redirected.kind === 'ok') return toIndex(redirected.value.index);
    throw notLeader();
  }
}

/** @throws CellError for a reply that is no index, as it would confirm any replica. */
const toIndex = (index: unknown): number => {
  if (Number.isSafeInteger(index)) return index as number;
  throw new CellError({code: 'log_unavailable', step: 'read-index'});
};

const notLeader = (): CellError =>
  new CellError({code: 'not_leader', step: 'read-index'});
