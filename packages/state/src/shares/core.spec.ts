import {expect} from 'chai';
import {asId, type ServiceName, type UpstreamId} from '../ids/types.js';
import {ShareLedger} from './core.js';
import type {
  HolderId,
  InFlight,
  InheritedShares,
  ShareAnswer,
} from './types.js';

const DESK = asId<ServiceName>('desk');
const UP = asId<UpstreamId>('up');
const [A, B] = ['a', 'b'].map(name => asId<HolderId>(name)) as [
  HolderId,
  HolderId,
];
const TIMING = {shareMs: 1000, marginMs: 200, announceMs: 5000};

/**
 * A ledger with one upstream of four slots, and helpers that feed it events.
 */
class Harness {
  readonly ledger: ShareLedger;
  private seq = 0;

  constructor(startedAt: number, inherited?: InheritedShares) {
    this.ledger = new ShareLedger({
      startedAt,
      timing: TIMING,
      ...(inherited ? {inherited} : {}),
    });
    // Sequence numbers of holders continue across a change of the leader.
    if (inherited) this.seq = 100;
  }

  /** Sends an announcement with a given sequence number. */
  announceAs(now: number, seq: number): void {
    const before = this.seq;
    this.seq = seq - 1;
    this.announce(now);
    this.seq = before;
  }

  announce(
    now: number,
    inFlight: InFlight[] = [],
    state: 'serving' | 'leaving' = 'serving',
  ): void {
    this.seq++;
    const report = {
      upstream: UP,
      service: DESK,
      address: 'x',
      slots: 4,
      connections: 60,
      state,
      seq: this.seq,
      inFlight,
    };
    this.ledger.step({kind: 'announce', now, report});
  }

  sync(
    now: number,
    holder: HolderId,
    held: number,
    want: number,
    isForeign = false,
  ): number {
    return slotsOf(this.syncFully(now, holder, held, want, isForeign));
  }

  syncFully(
    now: number,
    holder: HolderId,
    held: number,
    want: number,
    isForeign = false,
  ): ShareAnswer {
    this.seq++;
    const request = {
      holder,
      seq: this.seq,
      held: held > 0 ? [{upstream: UP, slots: held}] : [],
      wants: [{service: DESK, slots: want}],
      isForeign,
    };
    return this.ledger.step({kind: 'sync', now, request, openServices: [DESK]});
  }
}

const slotsOf = ({shares}: ShareAnswer): number =>
  shares.reduce((sum, {slots}) => sum + slots, 0);

/** A ledger past its lease expiry wait. */
const harnessPastLeaseExpiry = (): Harness => {
  const harness = new Harness(-10_000);
  harness.announce(0);
  return harness;
};

describe('share ledger', () => {
  it('lends at most the slots of the upstream', () => {
    const harness = harnessPastLeaseExpiry();
    expect(harness.sync(0, A, 0, 3)).to.equal(3);
    expect(harness.sync(1, B, 0, 3)).to.equal(1);
  });
  it('a new leader lends nothing until earlier loans have expired', () => {
    const harness = new Harness(0);
    harness.announce(10);
    expect(harness.sync(20, B, 0, 2)).to.equal(0);
    expect(harness.sync(1200, B, 0, 2)).to.equal(2);
  });
  it('a new leader accepts loans that holders report during the lease expiry wait', () => {
    const harness = new Harness(0);
    harness.announce(10);
    expect(harness.sync(20, A, 3, 3)).to.equal(3);
    expect(harness.syncFully(30, A, 3, 3).isComplete).to.equal(false);
    expect(harness.sync(1300, B, 0, 4)).to.equal(1);
  });
  it('an unknown share reported after the lease expiry wait is not accepted', () => {
    const harness = harnessPastLeaseExpiry();
    expect(harness.sync(0, A, 4, 4)).to.equal(4);
    expect(harness.sync(1, B, 4, 4)).to.equal(0);
  });
  it('slots of an expired share stay lent until an announcement after the expiry', () => {
    const harness = harnessPastLeaseExpiry();
    expect(harness.sync(0, A, 0, 4)).to.equal(4);
    harness.announce(1100);
    expect(harness.sync(1300, B, 0, 4)).to.equal(0);
    harness.announce(1301);
    expect(harness.sync(1302, B, 0, 4)).to.equal(4);
  });
  it('slots with requests in flight of a holder without a loan are not lent', () => {
    const harness = harnessPastLeaseExpiry();
    harness.announce(5, [{holder: A, requests: 3}]);
    expect(harness.sync(10, B, 0, 4)).to.equal(1);
  });
  it('a returned slot is lent again at once', () => {
    const harness = harnessPastLeaseExpiry();
    expect(harness.sync(0, A, 0, 4)).to.equal(4);
    expect(harness.sync(1, A, 1, 1)).to.equal(1);
    expect(harness.sync(2, B, 0, 4)).to.equal(3);
  });
  it('slots of a holder above its fair share are lent to another once returned', () => {
    const harness = harnessPastLeaseExpiry();
    expect(harness.sync(0, A, 0, 4)).to.equal(4);
    expect(harness.sync(1, B, 0, 4)).to.equal(0);
    expect(harness.sync(2, A, 4, 4)).to.equal(2);
    expect(harness.sync(3, A, 2, 4)).to.equal(2);
    expect(harness.sync(4, B, 0, 4)).to.equal(2);
  });
  it('shares of a leaving upstream are withdrawn', () => {
    const harness = harnessPastLeaseExpiry();
    expect(harness.sync(0, A, 0, 2)).to.equal(2);
    harness.announce(1, [], 'leaving');
    const answer = harness.syncFully(2, A, 2, 2);
    expect(slotsOf(answer)).to.equal(0);
    expect(answer.isComplete).to.equal(true);
  });
  it('a sync with an older sequence number gets no shares', () => {
    const harness = harnessPastLeaseExpiry();
    const request = {
      holder: A,
      seq: 50,
      held: [],
      wants: [{service: DESK, slots: 1}],
      isForeign: false,
    };
    expect(
      slotsOf(
        harness.ledger.step({
          kind: 'sync',
          now: 0,
          request,
          openServices: [DESK],
        }),
      ),
    ).to.equal(1);
    const old = {...request, seq: 49};
    expect(
      slotsOf(
        harness.ledger.step({
          kind: 'sync',
          now: 1,
          request: old,
          openServices: [DESK],
        }),
      ),
    ).to.equal(0);
  });
  it('an upstream restarted at the same address replaces the earlier process', () => {
    const harness = harnessPastLeaseExpiry();
    const report = {
      upstream: asId<UpstreamId>('up2'),
      service: DESK,
      address: 'x',
      slots: 2,
      connections: 60,
      state: 'serving' as const,
      seq: 1,
      inFlight: [],
    };
    harness.ledger.step({kind: 'announce', now: 5, report});
    expect(harness.ledger.list(6).map(({upstream}) => upstream)).to.deep.equal([
      'up2',
    ]);
  });
  it('holders of other zones get the slots that local holders leave', () => {
    const harness = harnessPastLeaseExpiry();
    expect(harness.sync(0, A, 0, 3)).to.equal(3);
    expect(harness.sync(1, B, 0, 4, true)).to.equal(1);
  });
  it('an inherited ledger lends at once and lends no slot twice', () => {
    const before = harnessPastLeaseExpiry();
    expect(before.sync(0, A, 0, 3)).to.equal(3);
    const handover = before.ledger.handOver(100);
    const next = new Harness(5100, {handover, at: 5100});
    expect(next.sync(5110, B, 0, 1)).to.equal(1);
    expect(next.sync(5120, A, 3, 3)).to.equal(3);
  });
  it('an inherited loan keeps its expiry time', () => {
    const before = harnessPastLeaseExpiry();
    before.sync(0, A, 0, 3);
    const next = new Harness(100, {
      handover: before.ledger.handOver(100),
      at: 100,
    });
    next.announceAs(1190, 1000);
    expect(next.sync(1195, B, 0, 4)).to.equal(1);
    next.announceAs(1201, 1001);
    expect(next.sync(1210, B, 1, 4)).to.equal(4);
  });
  it('a leader that stops during the lease expiry wait hands over the remaining wait', () => {
    const first = new Harness(0);
    first.announce(10);
    const next = new Harness(500, {
      handover: first.ledger.handOver(500),
      at: 500,
    });
    expect(next.sync(1190, B, 0, 2)).to.equal(0);
    expect(next.sync(1200, B, 0, 2)).to.equal(2);
  });
});
