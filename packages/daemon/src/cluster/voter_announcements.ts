/** The VMs with a disk that have announced themselves. */
import type {AnnouncedVm} from '@primrosewick/coordination';
import type {LinkHello} from '@primrosewick/protocol';
import type {NodeId, VmId, ZoneId} from '@primrosewick/state';

interface VoterAnnouncement {
  readonly node: NodeId;
  readonly zone: ZoneId;
  /** Monotonic time of its last announcement, in ms. */
  readonly at: number;
}

/** Remembers the last announcement of each. */
export class VoterAnnouncements {
  private readonly heard = new Map<VmId, VoterAnnouncement>();

  /** Notes an announcement at a monotonic time in ms. */
  record({vm, node, zone}: LinkHello, at: number): void {
    if (node) this.heard.set(vm, {node, zone, at});
  }

  /** All of them, as of a monotonic time in ms. */
  list(now: number): AnnouncedVm[] {
    return [...this.heard].map(([vm, {node, zone, at}]) => ({
      vm,
      node,
      zone,
      silentMs: now - at,
    }));
  }
}
