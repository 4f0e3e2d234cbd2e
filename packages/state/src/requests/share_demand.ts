import type {ServiceName} from '../ids/types.js';
import {reviverOf} from '../utils/image.js';
import type {ClassQueue} from './class_queue.js';
import type {ServiceTimes} from './service_times.js';
import type {ShareTable} from './share_table.js';
import {SpillPolicy, reviveSpillPolicy} from './spill_policy.js';
import type {DecisionNote, CrossZoneTerms} from './types.js';

/** Inputs of the demand. */
export interface ShareDemandOptions {
  readonly shares: ShareTable;
  readonly queues: ReadonlyMap<ServiceName, ClassQueue>;
  readonly times: ServiceTimes;
  /** Slots wanted beyond those in use and queued for. */
  readonly spareSlots: number;
}

/**
 * Computes the slots that an entry wants from each lender, and expected waits.
 */
export class ShareDemand {
  private readonly spill = new SpillPolicy();
  private notes: DecisionNote[] = [];

  constructor(private readonly options: ShareDemandOptions) {}

  /** Number of slots of a service wanted from a lender. */
  slotsWanted(
    service: ServiceName,
    lender: string,
    now: number,
    foreign: CrossZoneTerms | undefined,
  ): number {
    const busy = this.options.shares.countBusyOf(service, lender);
    if (!foreign) return busy + this.queued(service) + this.options.spareSlots;
    return busy + this.crossZoneDemand(service, lender, now, foreign);
  }

  /**
   * Expected wait for a slot with `ahead` requests queued first, in ms; 0 if no
   * slot is held.
   */
  expectedWait(service: ServiceName, ahead: number, now: number): number {
    const {shares, times} = this.options;
    const slots = shares.countSlots(service, now);
    return slots === 0 ? 0 : ((ahead + 1) * times.mean(service)) / slots;
  }

  /** Returns and clears the notes since the last call. */
  drainNotes(): DecisionNote[] {
    const {notes} = this;
    this.notes = [];
    return notes;
  }

  /**
   * Number of queued requests that another zone should serve; 0 unless the
   * service spills there.
   */
  private crossZoneDemand(
    service: ServiceName,
    lender: string,
    now: number,
    {roundTripMs, margins}: CrossZoneTerms,
  ): number {
    const marginMs = margins.find(
      margin => margin.service === service,
    )?.marginMs;
    if (marginMs === undefined) return 0;
    const waitMs = this.localWait(service, now);
    const {isSpilling, note} = this.spill.decide({
      service,
      lender,
      waitMs,
      roundTripMs,
      marginMs,
    });
    if (note) this.notes.push(note);
    return isSpilling ? this.queued(service) : 0;
  }

  /**
   * Expected wait of queued requests for a slot in this zone, in ms; infinite
   * if none is held.
   */
  private localWait(service: ServiceName, now: number): number {
    const {shares, times} = this.options;
    const queued = this.queued(service);
    if (queued === 0) return 0;
    const slots = shares.countLocalSlots(service, now);
    return slots === 0
      ? Number.POSITIVE_INFINITY
      : (queued * times.mean(service)) / slots;
  }

  private queued(service: ServiceName): number {
    return this.options.queues.get(service)?.size ?? 0;
  }
}

/**
 * Restores the demand from its deserialized state; its options are shared with
 * the core.
 */
export const reviveShareDemand = reviverOf(ShareDemand.prototype, {
  spill: reviveSpillPolicy,
});
