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
class Trial {
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
const settled = (): Trial => {
  const trial = new Trial(-10_000);
  trial.announce(0);
  return trial;
};

describe('share ledger', () => {
  it('lends no more than there is', () => {
    const trial = settled();
    expect(trial.sync(0, A, 0, 3)).to.equal(3);
    expect(trial.sync(1, B, 0, 3)).to.equal(1);
  });
  it('a new leader lends nothing until what was lent before has run out', () => {
    const trial = new Trial(0);
    trial.announce(10);
    expect(trial.sync(20, B, 0, 2)).to.equal(0);
    expect(trial.sync(1200, B, 0, 2)).to.equal(2);
  });
  it('a new leader goes on with the shares that holders name', () => {
    const trial = new Trial(0);
    trial.announce(10);
    expect(trial.sync(20, A, 3, 3)).to.equal(3);
    expect(trial.syncFully(30, A, 3, 3).isComplete).to.equal(false);
    expect(trial.sync(1300, B, 0, 4)).to.equal(1);
  });
  it('a share named too late is not taken over', () => {
    const trial = settled();
    expect(trial.sync(0, A, 4, 4)).to.equal(4);
    expect(trial.sync(1, B, 4, 4)).to.equal(0);
  });
  it('slots of a lapsed share stay lent until the upstream has reported since', () => {
    const trial = settled();
    expect(trial.sync(0, A, 0, 4)).to.equal(4);
    trial.announce(1100);
    expect(trial.sync(1300, B, 0, 4)).to.equal(0);
    trial.announce(1301);
    expect(trial.sync(1302, B, 0, 4)).to.equal(4);
  });
  it('slots in which a request of a lapsed holder runs are not lent', () => {
    const trial = settled();
    trial.announce(5, [{holder: A, requests: 3}]);
    expect(trial.sync(10, B, 0, 4)).to.equal(1);
  });
  it('a returned slot is lent again at once', () => {
    const trial = settled();
    expect(trial.sync(0, A, 0, 4)).to.equal(4);
    expect(trial.sync(1, A, 1, 1)).to.equal(1);
    expect(trial.sync(2, B, 0, 4)).to.equal(3);
  });
  it('a holder above its fair part is asked for slots, which move once returned', () => {
    const trial = settled();
    expect(trial.sync(0, A, 0, 4)).to.equal(4);
    expect(trial.sync(1, B, 0, 4)).to.equal(0);
    expect(trial.sync(2, A, 4, 4)).to.equal(2);
    expect(trial.sync(3, A, 2, 4)).to.equal(2);
    expect(trial.sync(4, B, 0, 4)).to.equal(2);
  });
  it('a leaving upstream is in no share', () => {
    const trial = settled();
    expect(trial.sync(0, A, 0, 2)).to.equal(2);
    trial.announce(1, [], 'leaving');
    const answer = trial.syncFully(2, A, 2, 2);
    expect(slotsOf(answer)).to.equal(0);
    expect(answer.isComplete).to.equal(true);
  });
  it('an overtaken sync is not answered', () => {
    const trial = settled();
    const request = {
      holder: A,
      seq: 50,
      held: [],
      wants: [{service: DESK, slots: 1}],
      isForeign: false,
    };
    expect(
      slotsOf(
        trial.ledger.step({
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
        trial.ledger.step({
          kind: 'sync',
          now: 1,
          request: old,
          openServices: [DESK],
        }),
      ),
    ).to.equal(0);
  });
  it('a restart under the same address ends the process before', () => {
    const trial = settled();
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
    trial.ledger.step({kind: 'announce', now: 5, report});
    expect(trial.ledger.list(6).map(({upstream}) => upstream)).to.deep.equal([
      'up2',
    ]);
  });
  it('holders of other zones get what the own zone leaves', () => {
    const trial = settled();
    expect(trial.sync(0, A, 0, 3)).to.equal(3);
    expect(trial.sync(1, B, 0, 4, true)).to.equal(1);
  });
  it('a ledger that was handed over is lent from at once, and no slot twice', () => {
    const before = settled();
    expect(before.sync(0, A, 0, 3)).to.equal(3);
    const handover = before.ledger.handOver(100);
    const next = new Trial(5100, {handover, at: 5100});
    expect(next.sync(5110, B, 0, 1)).to.equal(1);
    expect(next.sync(5120, A, 3, 3)).to.equal(3);
  });
  it('a loan that was handed over ends when it would have ended', () => {
    const before = settled();
    before.sync(0, A, 0, 3);
    const next = new Trial(100, {
      handover: before.ledger.handOver(100),
      at: 100,
    });
    next.announceAs(1190, 1000);
    expect(next.sync(1195, B, 0, 4)).to.equal(1);
    next.announceAs(1201, 1001);
    expect(next.sync(1210, B, 1, 4)).to.equal(4);
  });
  it('a leader that stops while it waits out hands on what is left of the wait', () => {
    const first = new Trial(0);
    first.announce(10);
    const next = new Trial(500, {
      handover: first.ledger.handOver(500),
      at: 500,
    });
    expect(next.sync(1190, B, 0, 2)).to.equal(0);
    expect(next.sync(1200, B, 0, 2)).to.equal(2);
  });
});
