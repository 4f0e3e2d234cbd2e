/** The limits on clients of the latest bundle that this VM has heard of. */
import type {VersionedLimits} from '@primrosewick/protocol';
import type {Bundle} from '@primrosewick/state';

/** Keeps the limits of the highest version. */
export class BundleLimits {
  private latest: VersionedLimits | null = null;

  /** The limits; null before any bundle is known. */
  get current(): VersionedLimits | null {
    return this.latest;
  }

  /** Notes limits that another VM told, if it told any. */
  observe(limits: VersionedLimits | undefined): void {
    if (!limits || !isSound(limits)) return;
    if (this.latest && this.latest.version >= limits.version) return;
    this.latest = limits;
  }
}

/** The limits of a bundle, as they are told to other VMs. */
export const limitsOf = (bundle: Bundle | null): VersionedLimits | undefined =>
  bundle ? {...bundle.limits, version: bundle.version} : undefined;

/** Whether all limits are usable; another release may tell something else. */
const isSound = (limits: VersionedLimits): boolean =>
  Number.isFinite(limits.version) &&
  [
    limits.headerBytes,
    limits.bodyBytes,
    limits.headerTimeoutMs,
    limits.idleTimeoutMs,
  ].every(value => Number.isFinite(value) && value > 0);
