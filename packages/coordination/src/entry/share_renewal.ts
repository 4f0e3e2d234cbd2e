/** Renews the slot shares of an entry node with the leaders of its own and other zones. */
import {Subscription} from 'rxjs';
import type {
  CrossZoneTerms,
  HolderId,
  RequestEffect,
  RequestEvent,
  ServiceName,
  ShareRequest,
  ZoneId,
} from '@primrosewick/state';
import type {ShareGrant} from '@primrosewick/protocol';
import type {Clock} from '@primrosewick/transport';
import type {ReplicaTask} from '../replica/task.js';
import type {LeaderPort} from './types.js';

/** Options of {@link ShareRenewal}. */
export interface ShareRenewalOptions {
  readonly zone: ZoneId;
  /** Other zones, from which slots may be borrowed. */
  readonly otherZones: readonly ZoneId[];
  readonly holder: HolderId;
  readonly replica: ReplicaTask;
  readonly leader: LeaderPort;
  readonly clock: Clock;
  /** Connections that this entry node may open to an upstream that accepts the given number. */
  readonly connectionLimitFor: (connections: number) => number;
  /** Passes an event to the request core. */
  readonly step: (event: RequestEvent) => readonly RequestEffect[];
}

/** Minimum time between a renewal and the next one on demand, in ms. */
const MIN_RENEWAL_GAP_MS = 20;
/** Round trip time to another zone before the first measurement, in ms. */
const DEFAULT_ROUND_TRIP_MS = 12;
/** Weight of the latest round trip in the moving average. */
const ROUND_TRIP_WEIGHT = 0.2;

/** Renews the shares of an entry node. */
export class ShareRenewal {
  private readonly timers = new Subscription();
  private readonly roundTrips = new Map<ZoneId, number>();
  private seq = 0;
  private lastRenewalAt = Number.NEGATIVE_INFINITY;
  /** Zones with a renewal in flight; a second one could overtake it. */
  private readonly pendingZones = new Set<ZoneId>();
  private isRenewalScheduled = false;

  constructor(private readonly options: ShareRenewalOptions) {}

  /** Renews periodically. */
  start(periodMs: number): void {
    const {clock} = this.options;
    this.timers.add(
      clock.every(periodMs).subscribe(() => void this.renewAll()),
    );
  }

  /** Stops the renewal; returns all shares if none is in use. */
  async stop(isIdle: boolean): Promise<void> {
    this.timers.unsubscribe();
    if (!isIdle) return;
    this.seq++;
    const {holder, leader} = this.options;
    await leader
      .syncShares({
        holder,
        seq: this.seq,
        held: [],
        wants: [],
        isForeign: false,
      })
      .catch(() => undefined);
  }

  /** Schedules a renewal ahead of the next period, because requests wait for slots. */
  borrow(): void {
    if (this.isRenewalScheduled) return;
    this.isRenewalScheduled = true;
    const {clock} = this.options;
    const pauseMs = Math.max(
      0,
      this.lastRenewalAt + MIN_RENEWAL_GAP_MS - clock.now(),
    );
    this.timers.add(clock.after(pauseMs).subscribe(() => void this.renewAll()));
  }

  private async renewAll(): Promise<void> {
    const {replica, clock, zone, otherZones, leader} = this.options;
    if (!replica.isReady) return;
    this.isRenewalScheduled = false;
    this.lastRenewalAt = clock.now();
    for (const foreign of otherZones) void this.renewOtherZone(foreign);
    await this.renewUnlessPending(zone, undefined, request =>
      leader.syncShares(request),
    );
  }

  /** Renews with one zone unless a renewal with it is in flight. */
  private async renewUnlessPending(
    lender: ZoneId,
    foreign: CrossZoneTerms | undefined,
    send: (request: ShareRequest) => Promise<ShareGrant>,
  ): Promise<void> {
    if (this.pendingZones.has(lender)) return;
    this.pendingZones.add(lender);
    try {
      await this.renew(lender, foreign, send);
    } catch {
      // The current shares stay valid until their deadline.
    } finally {
      this.pendingZones.delete(lender);
    }
  }

  /**
   * Renews with another zone, if any profile allows spilling; the core requests
   * slots where the local wait justifies the cross-zone traffic.
   */
  private async renewOtherZone(zone: ZoneId): Promise<void> {
    const margins = this.spillMargins();
    if (margins.length === 0) return;
    const foreign = {
      roundTripMs: this.roundTrips.get(zone) ?? DEFAULT_ROUND_TRIP_MS,
      margins,
    };
    const send = (request: ShareRequest): Promise<ShareGrant> =>
      this.options.leader.syncOtherZone(zone, request);
    await this.renewUnlessPending(zone, foreign, send);
  }

  private async renew(
    lender: ZoneId,
    foreign: CrossZoneTerms | undefined,
    send: (request: ShareRequest) => Promise<ShareGrant>,
  ): Promise<void> {
    const {clock, holder, connectionLimitFor, step} = this.options;
    const sentAt = clock.now();
    const event = {
      kind: 'renew' as const,
      now: sentAt,
      lender,
      services: this.openServices(),
    };
    const effects = step(foreign ? {...event, foreign} : event);
    const sync = effects.find(effect => effect.kind === 'sync');
    if (!sync) return;
    this.seq++;
    const {held, wants} = sync;
    const isForeign = foreign !== undefined;
    const {shares, leaseMs, isComplete} = await send({
      holder,
      seq: this.seq,
      held,
      wants,
      isForeign,
    });
    const now = clock.now();
    const roundTripMs = isForeign
      ? this.averageRoundTrip(lender, now - sentAt)
      : 0;
    const capped = shares.map(share => ({
      ...share,
      slots: Math.min(share.slots, connectionLimitFor(share.connections)),
    }));
    step({
      kind: 'shares',
      now,
      update: {
        lender,
        shares: capped,
        deadline: sentAt + leaseMs,
        isComplete,
        roundTripMs,
      },
    });
  }

  /** Updates and returns the moving average of the round trip time to a zone, in ms. */
  private averageRoundTrip(zone: ZoneId, tookMs: number): number {
    const known = this.roundTrips.get(zone) ?? tookMs;
    const mean = known + ROUND_TRIP_WEIGHT * (tookMs - known);
    this.roundTrips.set(zone, mean);
    return mean;
  }

  /** Services whose profile allows spilling to another zone, with their margins. */
  private spillMargins(): Array<{service: ServiceName; marginMs: number}> {
    const {state} = this.options.replica.replica;
    return state.listServices().flatMap(({service}) => {
      const spill = state.getProfile(service.profile)?.profile.waiting.spill;
      return spill?.kind === 'when_faster'
        ? [{service: service.name, marginMs: spill.marginMs}]
        : [];
    });
  }

  private openServices(): ServiceName[] {
    const services = this.options.replica.replica.state.listServices();
    return services
      .filter(({state}) => state === 'running')
      .map(({service}) => service.name);
  }
}
