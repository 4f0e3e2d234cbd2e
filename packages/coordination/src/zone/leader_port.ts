/** Reaches the leader of the own zone, wherever it is. */
import {
  CellError,
  type Epoch,
  type ShareRequest,
  type VmId,
} from '@primrosewick/state';
import type {
  LeaderReply,
  PeerMethods,
  ShareGrant,
  UpstreamAnnouncement,
  WorkerAnnouncement,
  WorkerOrders,
} from '@primrosewick/protocol';
import type {PeerCaller} from '@primrosewick/transport';
import type {ZoneTask} from './task.js';

/** Methods that only a zone's leader answers. */
type LeaderMethod = 'announceUpstream' | 'announceWorker' | 'syncShares';
type Value<M extends LeaderMethod> = Extract<
  PeerMethods[M]['reply'],
  {kind: 'ok'}
>['value'];

/** Options of the port. */
export interface ZoneLeaderPortOptions {
  readonly own: VmId;
  readonly peers: PeerCaller;
  readonly zone: ZoneTask;
}

const MAX_HOPS = 2;

/** Asks the zone's leader: here when this VM leads, else at the VM that does. */
export class ZoneLeaderPort {
  constructor(private readonly options: ZoneLeaderPortOptions) {}

  /**
   * Renews the shares of an entry.
   * @throws CellError `no_zone_leader`.
   */
  syncShares(request: ShareRequest): Promise<ShareGrant> {
    return this.ask('syncShares', request, () =>
      this.options.zone.syncShares(request),
    );
  }

  /**
   * Passes an announcement of an upstream on.
   * @throws CellError `no_zone_leader`.
   */
  announceUpstream(
    report: UpstreamAnnouncement,
  ): Promise<{readonly epoch: Epoch}> {
    return this.ask('announceUpstream', report, () =>
      this.options.zone.announceUpstream(report),
    );
  }

  /**
   * Passes an announcement of a worker on.
   * @throws CellError `no_zone_leader`.
   */
  announceWorker(report: WorkerAnnouncement): Promise<WorkerOrders> {
    return this.ask('announceWorker', report, () =>
      this.options.zone.announceWorker(report),
    );
  }

  private async ask<M extends LeaderMethod>(
    method: M,
    request: PeerMethods[M]['request'],
    here: () => LeaderReply<Value<M>>,
  ): Promise<Value<M>> {
    const {own, peers} = this.options;
    const ownReply = here();
    if (ownReply.kind === 'ok') return ownReply.value;
    let {leader} = ownReply;
    for (let hop = 0; hop < MAX_HOPS && leader && leader !== own; hop++) {
      const reply = (await peers.call(leader, method, request)) as LeaderReply<
        Value<M>
      >;
      if (reply.kind === 'ok') return reply.value;
      leader = reply.leader === leader ? null : reply.leader;
    }
    throw new CellError({
      code: 'no_zone_leader',
      step: method,
      peer: leader ?? 'zone',
    });
  }
}
