/** Announcements of VMs with a disk. */
import type {AnnouncedVm} from '@primrosewick/coordination';
import type {LinkHello} from '@primrosewick/protocol';
import type {NodeId, VmId, ZoneId} from '@primrosewick/state';

interface VoterAnnouncement {
  readonly node: NodeId;
  readonly zone: ZoneId;
  /** Monotonic time of its last announcement, in ms. */
  readonly at: number;
}

/** Keeps the last announcement of each VM with a disk. */
export class VoterAnnouncements {
  private readonly heard = new Map<VmId, VoterAnnouncement>();

  /** Records an announcement received at a monotonic time in ms. */
  record({vm, node, zone}: LinkHello, at: number): void {
    if (node) this.heard.set(vm, {node, zone, at});
  }

  /** Lists the announced VMs, as of a monotonic time in ms. */
  list(now: number): AnnouncedVm[] {
    return [...this.heard].map(([vm, {node, zone, at}]) => ({
      vm,
      node,
      zone,
      silentMs: now - at,
    }));
  }
}
