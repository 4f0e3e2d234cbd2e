/**
 * Ledger in which a zone's leader tracks the lent slots of its upstreams. A
 * slot is free only when its holder has returned it, or when the holder's
 * share has expired and the upstream has since reported that no request of the
 * holder is in flight.
 */
import type {ServiceName, UpstreamId} from '../ids/types.js';
import {assertNever} from '../utils/assert_never.js';
import {reviverOf} from '../utils/image.js';
import {exportTables, importTables} from './handover.js';
import type {Holder, LedgerTables, Loan, Upstream} from './tables.js';
import {
  DEFAULT_SHARE_TIMING,
  type HolderId,
  type InheritedShares,
  type Share,
  type ShareAnswer,
  type ShareEvent,
  type ShareHandover,
  type ShareRequest,
  type ShareTiming,
  type UpstreamReport,
  type UpstreamView,
} from './types.js';
import {waterFill} from './water_fill.js';

/** Options of the ledger. */
export interface ShareLedgerOptions {
  /** Time at which this leader's epoch began, in ms. */
  readonly startedAt: number;
  readonly timing?: Partial<ShareTiming>;
  /** Ledger of the previous leader, if it handed it over. */
  readonly inherited?: InheritedShares;
}

const EMPTY_ANSWER: ShareAnswer = {shares: [], loads: [], isComplete: false};

/** Ledger of the shares of one zone in one epoch. */
export class ShareLedger {
  private readonly timing: ShareTiming;
  private readonly startedAt: number;
  private readonly upstreams = new Map<UpstreamId, Upstream>();
  private readonly holders = new Map<HolderId, Holder>();

  constructor(options: ShareLedgerOptions) {
    this.timing = {...DEFAULT_SHARE_TIMING, ...options.timing};
    this.startedAt = options.startedAt;
    if (!options.inherited) return;
    const {handover, at} = options.inherited;
    this.startedAt = at - handover.ageMs;
    importTables(this.tables, handover, at);
  }

  /**
   * Exports the whole ledger for the next leader; this one must not lend
   * afterwards.
   */
  handOver(now: number): ShareHandover {
    return {ageMs: now - this.startedAt, ...exportTables(this.tables, now)};
  }

  private get tables(): LedgerTables {
    const {upstreams, holders} = this;
    return {upstreams, holders};
  }

  /**
   * Handles one event.
   * @returns the shares of the holder for a `sync`, else an empty answer.
   */
  step(event: ShareEvent): ShareAnswer {
    switch (event.kind) {
      case 'announce':
        this.addReport(event.report, event.now);
        return EMPTY_ANSWER;
      case 'sync':
        return this.sync(event.request, event.openServices, event.now);
      case 'expire':
        this.expire(event.now);
        return EMPTY_ANSWER;
      default:
        return assertNever(event);
    }
  }

  /** All upstreams, for status. */
  list(now: number): UpstreamView[] {
    return [...this.upstreams.values()].map(upstream => ({
      upstream: upstream.report.upstream,
      service: upstream.report.service,
      address: upstream.report.address,
      slots: upstream.report.slots,
      lent: this.usedSlots(upstream, now),
      inFlight: upstream.report.inFlight.reduce(
        (sum, {requests}) => sum + requests,
        0,
      ),
      state: upstream.report.state,
    }));
  }

  private addReport(report: UpstreamReport, now: number): void {
    const known = this.upstreams.get(report.upstream);
    if (known && report.seq <= known.report.seq) return;
    if (!known) this.dropSameAddress(report);
    const loans = known?.loans ?? new Map<HolderId, Loan>();
    this.upstreams.set(report.upstream, {report, reportedAt: now, loans});
  }

  /**
   * Drops the earlier process at the same address, which a restart has
   * replaced.
   */
  private dropSameAddress({address}: UpstreamReport): void {
    for (const [id, other] of this.upstreams) {
      if (other.report.address === address) this.upstreams.delete(id);
    }
  }

  private expire(now: number): void {
    for (const [id, upstream] of this.upstreams) {
      if (this.isSilent(upstream, now) && !hasLiveLoan(upstream, now))
        this.upstreams.delete(id);
    }
    for (const [id, holder] of this.holders) {
      if (now >= holder.deadline) this.holders.delete(id);
    }
  }

  private isSilent(upstream: Upstream, now: number): boolean {
    return now >= upstream.reportedAt + this.timing.announceMs;
  }

  private sync(
    request: ShareRequest,
    openServices: readonly ServiceName[],
    now: number,
  ): ShareAnswer {
    this.expire(now);
    if (!this.updateHolder(request, now)) return EMPTY_ANSWER;
    this.updateLoans(request, now);
    const services = new Set(request.wants.map(want => want.service));
    for (const share of request.held) {
      const service = this.upstreams.get(share.upstream)?.report.service;
      if (service) services.add(service);
    }
    const openSet = new Set(openServices);
    const shares = [...services]
      .filter(service => openSet.has(service))
      .flatMap(service => this.lend(request.holder, service, now));
    return {
      shares,
      loads: this.loadsOf(openServices, now),
      isComplete: !this.isAwaitingLeaseExpiry(now),
    };
  }

  private updateHolder(request: ShareRequest, now: number): boolean {
    const known = this.holders.get(request.holder);
    if (known && request.seq <= known.seq) return false;
    this.holders.set(request.holder, {
      seq: request.seq,
      deadline: this.loanDeadline(now),
      isForeign: request.isForeign,
      wants: new Map(request.wants.map(({service, slots}) => [service, slots])),
    });
    return true;
  }

  /**
   * Updates loans from the holder's report; slots not listed are returned.
   * Slots lent by an earlier leader are accepted only while they may still be
   * valid.
   */
  private updateLoans({holder, held}: ShareRequest, now: number): void {
    const slotsOf = new Map(held.map(({upstream, slots}) => [upstream, slots]));
    for (const [id, upstream] of this.upstreams) {
      const claimed = slotsOf.get(id) ?? 0;
      const known = upstream.loans.get(holder)?.slots ?? 0;
      const slots = this.isAwaitingLeaseExpiry(now)
        ? claimed
        : Math.min(claimed, known);
      if (slots === 0) upstream.loans.delete(holder);
      else
        upstream.loans.set(holder, {slots, deadline: this.loanDeadline(now)});
    }
  }

  private loanDeadline(now: number): number {
    return now + this.timing.shareMs + this.timing.marginMs;
  }

  /** Lends slots of one service to a holder, up to its fair share. */
  private lend(holder: HolderId, service: ServiceName, now: number): Share[] {
    const serving = this.servingUpstreams(service, now);
    const target = this.fairShare(holder, serving, service, now);
    const shares = this.keepLoans(holder, serving, target);
    this.addLoans(holder, serving, shares, target, now);
    return [...shares].map(([upstream, slots]) => shareOf(upstream, slots));
  }

  private servingUpstreams(service: ServiceName, now: number): Upstream[] {
    return [...this.upstreams.values()].filter(upstream => {
      const {report} = upstream;
      const isServing =
        report.state === 'serving' && !this.isSilent(upstream, now);
      return isServing && report.service === service;
    });
  }

  /**
   * Max-min fair share of a holder, in slots; foreign holders divide what local
   * demand leaves.
   */
  private fairShare(
    holder: HolderId,
    serving: readonly Upstream[],
    service: ServiceName,
    now: number,
  ): number {
    const isForeign = this.holders.get(holder)?.isForeign ?? false;
    const total = serving.reduce(
      (sum, upstream) => sum + this.lendableSlots(upstream, now),
      0,
    );
    const local = this.demands(service, false);
    const left = isForeign
      ? total - local.reduce((sum, {want}) => sum + want, 0)
      : total;
    const demands = isForeign ? this.demands(service, true) : local;
    return waterFill(left, demands).get(holder) ?? 0;
  }

  private demands(
    service: ServiceName,
    isForeign: boolean,
  ): Array<{key: HolderId; want: number}> {
    return [...this.holders]
      .filter(([, holder]) => holder.isForeign === isForeign)
      .map(([key, holder]) => ({key, want: holder.wants.get(service) ?? 0}));
  }

  private keepLoans(
    holder: HolderId,
    serving: readonly Upstream[],
    target: number,
  ): Map<Upstream, number> {
    const shares = new Map<Upstream, number>();
    let left = target;
    for (const upstream of serving) {
      const kept = Math.min(left, upstream.loans.get(holder)?.slots ?? 0);
      if (kept > 0) shares.set(upstream, kept);
      left -= kept;
    }
    return shares;
  }

  private addLoans(
    holder: HolderId,
    serving: readonly Upstream[],
    shares: Map<Upstream, number>,
    target: number,
    now: number,
  ): void {
    let left =
      target - [...shares.values()].reduce((sum, slots) => sum + slots, 0);
    const byFree = serving.map(upstream => ({
      upstream,
      free: this.freeSlots(upstream, now),
    }));
    byFree.sort((a, b) => b.free - a.free);
    while (left > 0) {
      const before = left;
      for (const candidate of byFree) {
        if (left === 0 || candidate.free <= 0) continue;
        shares.set(
          candidate.upstream,
          (shares.get(candidate.upstream) ?? 0) + 1,
        );
        this.addLoan(holder, candidate.upstream, now);
        candidate.free--;
        left--;
      }
      if (left === before) return;
    }
  }

  private addLoan(holder: HolderId, upstream: Upstream, now: number): void {
    const slots = (upstream.loans.get(holder)?.slots ?? 0) + 1;
    upstream.loans.set(holder, {slots, deadline: this.loanDeadline(now)});
  }

  private freeSlots(upstream: Upstream, now: number): number {
    if (this.isAwaitingLeaseExpiry(now)) return 0;
    return upstream.report.slots - this.usedSlots(upstream, now);
  }

  /**
   * Whether loans of an earlier epoch may still be valid that no holder has
   * reported to this leader yet.
   */
  private isAwaitingLeaseExpiry(now: number): boolean {
    return now < this.startedAt + this.timing.shareMs + this.timing.marginMs;
  }

  /**
   * Number of slots available to current holders: those lent and those free.
   */
  private lendableSlots(upstream: Upstream, now: number): number {
    const held = [...upstream.loans.values()].reduce(
      (sum, loan) => sum + loan.slots,
      0,
    );
    return Math.max(held, held + this.freeSlots(upstream, now));
  }

  /**
   * Number of slots lent, or still in use by holders whose share has expired.
   */
  private usedSlots(upstream: Upstream, now: number): number {
    this.dropLapsed(upstream, now);
    const {inFlight} = upstream.report;
    const reported = new Map(
      inFlight.map(({holder, requests}) => [holder, requests]),
    );
    let used = 0;
    for (const [holder, loan] of upstream.loans) {
      used += Math.max(loan.slots, reported.get(holder) ?? 0);
      reported.delete(holder);
    }
    for (const requests of reported.values()) used += requests;
    return used;
  }

  /**
   * Drops expired loans once an announcement received after the expiry shows
   * what is still in flight.
   */
  private dropLapsed(upstream: Upstream, now: number): void {
    for (const [holder, {deadline}] of upstream.loans) {
      if (now >= deadline && upstream.reportedAt >= deadline)
        upstream.loans.delete(holder);
    }
  }

  private loadsOf(services: readonly ServiceName[], now: number) {
    return services.map(service => ({
      service,
      freeSlots: this.servingUpstreams(service, now).reduce(
        (sum, upstream) => sum + Math.max(0, this.freeSlots(upstream, now)),
        0,
      ),
    }));
  }
}

const hasLiveLoan = ({loans}: Upstream, now: number): boolean =>
  [...loans.values()].some(loan => now < loan.deadline);

const shareOf = ({report}: Upstream, slots: number): Share => ({
  upstream: report.upstream,
  service: report.service,
  address: report.address,
  slots,
  connections: report.connections,
});

/** Restores a ledger from its deserialized state. */
export const reviveShareLedger = reviverOf(ShareLedger.prototype);
