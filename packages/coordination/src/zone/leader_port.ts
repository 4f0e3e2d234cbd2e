/** Calls the leader of a zone, on whichever VM it runs. */
import {
  CellError,
  type Epoch,
  type ShareRequest,
  type VmId,
} from '@primrosewick/state';
import type {
  CanHoldReply,
  CanHoldRequest,
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
type LeaderMethod =
  'announceUpstream' | 'announceWorker' | 'syncShares' | 'canHold';
type Value<M extends LeaderMethod> = Extract<
  PeerMethods[M]['reply'],
  {kind: 'ok'}
>['value'];

/** Options of {@link ZoneLeaderPort}. */
export interface ZoneLeaderPortOptions {
  readonly own: VmId;
  readonly peers: PeerCaller;
  /** This VM's zone task; null when the zone is not its own. */
  readonly zone: ZoneTask | null;
  /** VMs of the zone. */
  readonly vms: readonly VmId[];
}

const MAX_HOPS = 2;

/** Calls a zone's leader: locally when this VM leads, otherwise on the VM that does. */
export class ZoneLeaderPort {
  private known: VmId | null = null;
  private next = 0;

  constructor(private readonly options: ZoneLeaderPortOptions) {}

  /**
   * Renews the shares of an entry node.
   * @throws CellError `no_zone_leader`, or that of the call.
   */
  syncShares(request: ShareRequest): Promise<ShareGrant> {
    return this.ask('syncShares', request, zone => zone.syncShares(request));
  }

  /**
   * Forwards the announcement of an upstream.
   * @throws CellError `no_zone_leader`, or that of the call.
   */
  announceUpstream(
    report: UpstreamAnnouncement,
  ): Promise<{readonly epoch: Epoch}> {
    return this.ask('announceUpstream', report, zone =>
      zone.announceUpstream(report),
    );
  }

  /**
   * Forwards the announcement of a worker.
   * @throws CellError `no_zone_leader`, or that of the call.
   */
  announceWorker(report: WorkerAnnouncement): Promise<WorkerOrders> {
    return this.ask('announceWorker', report, zone =>
      zone.announceWorker(report),
    );
  }

  /**
   * Queries whether the zone's workers could hold tasks of a size if they were empty.
   * @throws CellError `no_zone_leader`, or that of the call.
   */
  canHold(request: CanHoldRequest): Promise<CanHoldReply> {
    return this.ask('canHold', request, zone => zone.canHold(request));
  }

  private async ask<M extends LeaderMethod>(
    method: M,
    request: PeerMethods[M]['request'],
    callHere: (zone: ZoneTask) => LeaderReply<Value<M>>,
  ): Promise<Value<M>> {
    const {own, peers, zone} = this.options;
    const ownReply = zone && callHere(zone);
    if (ownReply?.kind === 'ok') return ownReply.value;
    let vm = zone ? (ownReply?.leader ?? null) : this.initialTarget();
    for (let hop = 0; hop < MAX_HOPS && vm && vm !== own; hop++) {
      const reply = (await this.callAt(
        peers,
        vm,
        method,
        request,
      )) as LeaderReply<Value<M>>;
      if (reply.kind === 'ok') {
        this.known = vm;
        return reply.value;
      }
      vm = reply.leader === vm ? null : reply.leader;
    }
    this.forgetLeader();
    throw new CellError({
      code: 'no_zone_leader',
      step: method,
      peer: vm ?? 'zone',
    });
  }

  private async callAt<M extends LeaderMethod>(
    peers: PeerCaller,
    vm: VmId,
    method: M,
    request: PeerMethods[M]['request'],
  ): Promise<PeerMethods[M]['reply']> {
    try {
      return await peers.call(vm, method, request);
    } catch (err) {
      this.forgetLeader();
      throw err;
    }
  }

  /** The leader of the last successful call, or the zone's VMs in turn. */
  private initialTarget(): VmId | null {
    const {vms} = this.options;
    return this.known ?? vms[this.next % Math.max(1, vms.length)] ?? null;
  }

  private forgetLeader(): void {
    this.known = null;
    this.next++;
  }
}
