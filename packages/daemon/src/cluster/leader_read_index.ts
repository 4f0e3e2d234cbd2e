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
    if (reply.kind === 'ok') return reply.value.index;
    throw notLeader();
  }
}

const notLeader = (): CellError =>
  new CellError({code: 'not_leader', step: 'read-index'});
