/** Renews the shares of an entry at the leaders of its own and other zones. */
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

/** Options of the renewal. */
export interface ShareRenewalOptions {
  readonly zone: ZoneId;
  /** Other zones, from which slots may be borrowed. */
  readonly otherZones: readonly ZoneId[];
  readonly holder: HolderId;
  readonly replica: ReplicaTask;
  readonly leader: LeaderPort;
  readonly clock: Clock;
  /** Most connections of this entry to one upstream, by the connections it accepts. */
  readonly connectionLimitFor: (connections: number) => number;
  /** Hands an event to the request core. */
  readonly step: (event: RequestEvent) => readonly RequestEffect[];
}

/** Least time between two renewals, however great the demand, in ms. */
const MIN_GAP_MS = 20;
/** Round trip to another zone before any was measured, in ms. */
const DEFAULT_ROUND_TRIP_MS = 12;
const ROUND_TRIP_WEIGHT = 0.2;

/** Renews the shares of an entry. */
export class ShareRenewal {
  private readonly timers = new Subscription();
  private readonly roundTrips = new Map<ZoneId, number>();
  private seq = 0;
  private lastAt = Number.NEGATIVE_INFINITY;
  /** Zones whose answer is awaited; a second renewal could overtake the first. */
  private readonly awaited = new Set<ZoneId>();
  private isBorrowDue = false;

  constructor(private readonly options: ShareRenewalOptions) {}

  /** Renews at a steady pace. */
  start(periodMs: number): void {
    const {clock} = this.options;
    this.timers.add(
      clock.every(periodMs).subscribe(() => void this.renewAll()),
    );
  }

  /** Stops, and returns all shares when none is in use. */
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

  /** Renews soon, as requests wait. */
  borrow(): void {
    if (this.isBorrowDue) return;
    this.isBorrowDue = true;
    const {clock} = this.options;
    const pauseMs = Math.max(0, this.lastAt + MIN_GAP_MS - clock.now());
    this.timers.add(clock.after(pauseMs).subscribe(() => void this.renewAll()));
  }

  private async renewAll(): Promise<void> {
    const {
      replica,
      clock,
      zone,
      otherZones: foreignZones,
      leader,
    } = this.options;
    if (!replica.isReady) return;
    this.isBorrowDue = false;
    this.lastAt = clock.now();
    for (const foreign of foreignZones) void this.renewForeign(foreign);
    await this.renewAlone(zone, undefined, request =>
      leader.syncShares(request),
    );
  }

  /** Renews at one zone unless a renewal there is under way. */
  private async renewAlone(
    lender: ZoneId,
    foreign: CrossZoneTerms | undefined,
    send: (request: ShareRequest) => Promise<ShareGrant>,
  ): Promise<void> {
    if (this.awaited.has(lender)) return;
    this.awaited.add(lender);
    try {
      await this.renew(lender, foreign, send);
    } catch {
      // The shares held run on until their deadline.
    } finally {
      this.awaited.delete(lender);
    }
  }

  /** Borrows from another zone, where the wait here makes it worth its traffic. */
  private async renewForeign(zone: ZoneId): Promise<void> {
    const margins = this.spillMargins();
    if (margins.length === 0) return;
    const foreign = {
      roundTripMs: this.roundTrips.get(zone) ?? DEFAULT_ROUND_TRIP_MS,
      margins,
    };
    const send = (request: ShareRequest): Promise<ShareGrant> =>
      this.options.leader.syncOtherZone(zone, request);
    await this.renewAlone(zone, foreign, send);
  }

  private async renew(
    lender: ZoneId,
    foreign: CrossZoneTerms | undefined,
    send: (request: ShareRequest) => Promise<ShareGrant>,
  ): Promise<void> {
    const {
      clock,
      holder,
      connectionLimitFor: connectionsOf,
      step,
    } = this.options;
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
      ? this.noteRoundTrip(lender, now - sentAt)
      : 0;
    const capped = shares.map(share => ({
      ...share,
      slots: Math.min(share.slots, connectionsOf(share.connections)),
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

  /** Moving mean of the round trip to a zone, in ms. */
  private noteRoundTrip(zone: ZoneId, tookMs: number): number {
    const known = this.roundTrips.get(zone) ?? tookMs;
    const mean = known + ROUND_TRIP_WEIGHT * (tookMs - known);
    this.roundTrips.set(zone, mean);
    return mean;
  }

  /** Services whose profile lets them be served by another zone. */
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
