/** VMs that sent a hello recently, and so can query their adviser. */
import type {VmId} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** Age of a VM's last hello at which it no longer counts as able to query its adviser, in ms. */
const LIVE_AGE_MS = 1500;

/** Keeps the time of the last hello of each VM. */
export class LiveVms {
  private readonly lastHelloAt = new Map<VmId, number>();

  constructor(
    private readonly own: VmId,
    private readonly clock: Clock,
  ) {}

  /** Records a hello. */
  markAlive(vm: VmId): void {
    if (vm !== this.own) this.lastHelloAt.set(vm, this.clock.now());
  }

  /** Lists this VM and those that sent a hello recently. */
  list(): VmId[] {
    const now = this.clock.now();
    const live = [...this.lastHelloAt]
      .filter(([, at]) => now < at + LIVE_AGE_MS)
      .map(([vm]) => vm);
    return [this.own, ...live];
  }
}
