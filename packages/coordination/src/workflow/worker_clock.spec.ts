import {expect} from 'chai';
import {ReadIndexBatcher} from './read_index_batcher.js';
import {StartLedger} from './start_ledger.js';
import {WorkerClock} from './worker_clock.js';

const task = {workflow: 'a', occurrence: 0, step: 0, index: 0} as never;
const key = 'a.0.0.0' as never;

describe('worker clock', () => {
  it('without a clock reading, the worker may hold the longest lease of an earlier leader', () => {
    const clock = new WorkerClock({
      maxGrantedMs: 8000,
      previousLeaderUntil: 1000,
    });
    expect(clock.lapseAt).to.be.within(9163, 9400);
    expect(clock.leaseFor(0, 5000)).to.equal(undefined);
  });
  it('the lapse of a lease allows for a clock that is 2 % slow', () => {
    const clock = new WorkerClock({
      maxGrantedMs: 8000,
      previousLeaderUntil: -20_000,
    });
    clock.note(100, 50_000);
    expect(clock.leaseFor(200, 5000)).to.equal(55_098);
    expect(clock.lapseAt).to.be.within(
      100 + 5100 / 0.98,
      100 + 5100 / 0.98 + 200,
    );
  });
  // Guards against LOST: the lease of a worker that had been idle was longer by 2 %.
  it('a lease is not longer on a slow clock that was read long ago', () => {
    const clock = new WorkerClock({maxGrantedMs: 8000, previousLeaderUntil: 0});
    clock.note(0, 0);
    clock.noteSoleLeader(0);
    const readAgoMs = 50_000;
    const slowClockMs = readAgoMs * 0.98;
    expect(clock.leaseFor(readAgoMs, 5000)).to.be.at.most(slowClockMs + 5000);
    expect(clock.lapseAt).to.be.below(readAgoMs + 5000 / 0.98 + 200);
  });
  it('a clock that was read too long ago is read again before a lease', () => {
    const clock = new WorkerClock({maxGrantedMs: 8000, previousLeaderUntil: 0});
    clock.note(0, 0);
    expect([clock.isKnown(60_000), clock.isKnown(60_001)]).to.eql([
      true,
      false,
    ]);
    expect(clock.leaseFor(60_001, 5000)).to.equal(undefined);
  });
  it('leases of earlier leaders lapse by the first list that this leader got', () => {
    const clock = new WorkerClock({maxGrantedMs: 8000, previousLeaderUntil: 0});
    clock.note(100, 50_000);
    clock.noteSoleLeader(100);
    const {lapseAt} = clock;
    for (const now of [1000, 5000, 20_000]) clock.noteSoleLeader(now);
    expect(clock.lapseAt).to.equal(lapseAt);
    clock.note(20_000, 69_900);
    clock.leaseFor(20_000, 5000);
    expect(clock.lapseAt).to.be.within(
      20_000 + 5000 / 0.98,
      20_000 + 5000 / 0.98 + 200,
    );
  });
});

describe('start ledger', () => {
  it('a run is unsettled in a list requested before its start was accepted', () => {
    const ledger = new StartLedger();
    ledger.expect(task, 1);
    expect(ledger.isUnsettled(key, 1, 0)).to.equal(true);
    ledger.confirm(task, 1, 50);
    expect(ledger.isUnsettled(key, 1, 40)).to.equal(true);
    expect(ledger.isUnsettled(key, 1, 60)).to.equal(false);
    expect(ledger.expected).to.eql([]);
  });
  it('the end of an earlier run does not drop a later start', () => {
    const ledger = new StartLedger();
    ledger.expect(task, 2);
    ledger.forgetRun(task, 1);
    expect(ledger.isInFlight(key)).to.equal(true);
  });
});

describe('read index batcher', () => {
  it('reads that arrive during a round share the next round', async () => {
    const rounds: Array<(index: number) => void> = [];
    const gate = new ReadIndexBatcher(
      () => new Promise(resolve => rounds.push(resolve)),
    );
    const first = gate.read();
    const second = gate.read();
    const third = gate.read();
    expect(rounds).to.have.length(1);
    rounds[0]!(7);
    expect(await first).to.equal(7);
    await new Promise(resolve => setImmediate(resolve));
    expect(rounds).to.have.length(2);
    rounds[1]!(9);
    expect([await second, await third]).to.eql([9, 9]);
  });
});
