/** The VMs that have greeted lately, and so can ask for advice. */
import type {VmId} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** Age at which an entry no longer counts as able to ask for advice, in ms. */
const CALLER_AGE_MS = 1500;

/** Remembers the last greeting of each VM. */
export class LiveVms {
  private readonly heardAt = new Map<VmId, number>();

  constructor(
    private readonly own: VmId,
    private readonly clock: Clock,
  ) {}

  /** Notes a greeting. */
  markAlive(vm: VmId): void {
    if (vm !== this.own) this.heardAt.set(vm, this.clock.now());
  }

  /** This VM, and those that greeted lately. */
  list(): VmId[] {
    const now = this.clock.now();
    const live = [...this.heardAt]
      .filter(([, at]) => now < at + CALLER_AGE_MS)
      .map(([vm]) => vm);
    return [this.own, ...live];
  }
}
