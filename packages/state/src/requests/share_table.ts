import type {ServiceName, UpstreamId} from '../ids/types.js';
import {reviverOf} from '../utils/image.js';
import type {AttemptId, HeldReport, ShareUpdate} from './types.js';

/** Slots of one upstream that the entry may use. */
export interface HeldSlots {
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly address: string;
  readonly lender: string;
  readonly roundTripMs: number;
  slots: number;
  /** Time at which the share expires. */
  deadline: number;
  /** Attempts that are not known to have ended. */
  readonly attempts: Set<AttemptId>;
}

/** Shares of all services at one entry. */
export class ShareTable {
  private readonly held = new Map<UpstreamId, HeldSlots>();
  private readonly upstreamOfAttempt = new Map<AttemptId, UpstreamId>();

  /** Applies the shares of a lender's reply. */
  update({
    lender,
    shares,
    deadline,
    isComplete,
    roundTripMs,
  }: ShareUpdate): void {
    const listed = new Set(shares.map(share => share.upstream));
    for (const share of this.held.values()) {
      const isWithdrawn =
        isComplete && share.lender === lender && !listed.has(share.upstream);
      if (isWithdrawn) share.slots = 0;
    }
    for (const {upstream, service, address, slots} of shares) {
      const attempts =
        this.held.get(upstream)?.attempts ?? new Set<AttemptId>();
      this.held.set(upstream, {
        upstream,
        service,
        address,
        lender,
        roundTripMs,
        slots,
        deadline,
        attempts,
      });
    }
    this.prune();
  }

  /**
   * Upstreams of a service with a free slot and a share that expires after
   * `until`.
   */
  listFree(service: ServiceName, until: number): HeldSlots[] {
    return [...this.held.values()].filter(
      share =>
        share.service === service &&
        share.attempts.size < share.slots &&
        share.deadline > until,
    );
  }

  /** Number of slots of a service in shares that expire after `until`. */
  countSlots(service: ServiceName, until: number): number {
    return this.ofService(service)
      .filter(share => share.deadline > until)
      .reduce((sum, share) => sum + share.slots, 0);
  }

  /**
   * Number of slots of a service in shares of this zone that expire after
   * `until`.
   */
  countLocalSlots(service: ServiceName, until: number): number {
    return this.ofService(service)
      .filter(share => share.roundTripMs === 0 && share.deadline > until)
      .reduce((sum, share) => sum + share.slots, 0);
  }

  /**
   * Number of attempts at upstreams of one lender that are not known to have
   * ended.
   */
  countBusyOf(service: ServiceName, lender: string): number {
    return this.ofService(service)
      .filter(share => share.lender === lender)
      .reduce((sum, share) => sum + share.attempts.size, 0);
  }

  /** Occupies a slot for an attempt. */
  addAttempt(attempt: AttemptId, upstream: UpstreamId): void {
    this.held.get(upstream)?.attempts.add(attempt);
    this.upstreamOfAttempt.set(attempt, upstream);
  }

  /** Frees the slot of an attempt that is known to have ended. */
  removeAttempt(attempt: AttemptId): void {
    const upstream = this.upstreamOfAttempt.get(attempt);
    this.upstreamOfAttempt.delete(attempt);
    if (upstream !== undefined)
      this.held.get(upstream)?.attempts.delete(attempt);
    this.prune();
  }

  /** @returns the share that an attempt uses, or undefined. */
  getByAttempt(attempt: AttemptId): HeldSlots | undefined {
    const upstream = this.upstreamOfAttempt.get(attempt);
    return upstream === undefined ? undefined : this.held.get(upstream);
  }

  /**
   * Lists the slots held from a lender and gives up idle slots beyond the wanted
   * number. An expired share keeps only the slots in use.
   */
  report(
    lender: string,
    now: number,
    wantOf: (service: ServiceName) => number,
  ): HeldReport[] {
    const remaining = new Map<ServiceName, number>();
    const reports: HeldReport[] = [];
    for (const share of this.held.values()) {
      if (share.lender !== lender) continue;
      if (now >= share.deadline) share.slots = 0;
      const want = remaining.get(share.service) ?? wantOf(share.service);
      share.slots = Math.min(share.slots, Math.max(want, share.attempts.size));
      const slots = Math.max(share.slots, share.attempts.size);
      remaining.set(share.service, Math.max(0, want - slots));
      if (slots > 0) reports.push({upstream: share.upstream, slots});
    }
    this.prune();
    return reports;
  }

  /** All shares, for status. */
  list(): HeldSlots[] {
    return [...this.held.values()];
  }

  private ofService(service: ServiceName): HeldSlots[] {
    return [...this.held.values()].filter(share => share.service === service);
  }

  private prune(): void {
    for (const [id, share] of this.held) {
      if (share.slots === 0 && share.attempts.size === 0) this.held.delete(id);
    }
  }
}

/** Restores a table from its deserialized state. */
export const reviveShareTable = reviverOf(ShareTable.prototype);
