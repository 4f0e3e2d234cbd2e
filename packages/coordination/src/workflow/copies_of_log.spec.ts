import bunyan from 'bunyan';
import {expect} from 'chai';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
  testWorker,
} from '@primrosewick/state/fixtures';
import {Subject} from 'rxjs';
import {pause, systemClock, type Clock} from '@primrosewick/transport';
import {AnnouncementRelay} from './announcements.js';
import {WorkflowReplica} from './replica.js';
import {ReplicaReader} from './replica_reader.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const [QUEUE] = new TestLog().db.bundle!.queues;
const address = (rest: string) => ({
  host: QUEUE!.host,
  path: `${QUEUE!.prefix}${rest}`,
});

/** A replica that is restored from an image of the log's state, and open. */
const copyOf = (log: TestLog): WorkflowReplica => {
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  replica.open();
  return replica;
};
const startedLog = (): TestLog => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  log.submit('b', testSpec([testStep()]));
  log.start('w1', testTask('a', 0, 0));
  return log;
};
const readerOf = (log: TestLog, ageMs = 0) =>
  new ReplicaReader({
    replica: copyOf(log),
    clock: systemClock,
    ageMs: () => ageMs,
  });

describe('replica reader', () => {
  it('returns the state of a known workflow and the number of pending ones', () => {
    const reader = readerOf(startedLog());
    expect(reader.read(address('a'))).to.eql({kind: 'state', state: 'running'});
    expect(reader.read(address('b'))).to.eql({kind: 'state', state: 'queued'});
    const count = {kind: 'pending', count: 1, version: 1};
    expect(reader.read(address(''))).to.eql(count);
  });
  it('returns nothing for an unknown workflow or queue, as the replica may lag', () => {
    const reader = readerOf(startedLog());
    expect(reader.read(address('unheard'))).to.equal(undefined);
    expect(reader.read({host: 'other', path: '/'})).to.equal(undefined);
  });
  it('answers nothing once the leader was not heard of for a while', () => {
    expect(readerOf(startedLog(), 251).read(address('a'))).to.equal(undefined);
  });
  it('returns a final state, which cannot change, however stale the replica is', () => {
    const log = startedLog();
    log.end('w1', testTask('a', 0, 0), 'done');
    const reader = readerOf(log, 5000);
    expect(reader.read(address('a'))).to.eql({kind: 'state', state: 'done'});
    expect(reader.read(address('b'))).to.equal(undefined);
  });
  it('a read waits for a replica that lags briefly', async () => {
    const log = startedLog();
    const replica = copyOf(log);
    const reader = new ReplicaReader({
      replica,
      clock: systemClock,
      ageMs: () => 0,
    });
    const index = replica.index + 1;
    setTimeout(() => replica.apply({index}), 30);
    const answer = await reader.readAt(address('a'), index);
    expect(answer).to.eql({kind: 'state', state: 'running'});
    expect(replica.index).to.equal(index);
  });
  it('a stale replica stays readable', () => {
    expect(readerOf(startedLog(), 5000).isReadable).to.equal(true);
  });
  it('returns the final state of a workflow whose steps were dropped', () => {
    const log = startedLog();
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(log.db.workflows.get('a' as never)?.spec.steps).to.eql([]);
    expect(readerOf(log).read(address('a'))).to.eql({
      kind: 'state',
      state: 'done',
    });
  });
});

/** A relay with a replica in which worker w1 is registered. */
const makeRelay = ({canAnswer = true, fails = false, ageMs = 0} = {}) => {
  const time = {now: 0};
  const log = new TestLog();
  log.addWorker('w1', {sequence: 1});
  const ticks = new Subject<number>();
  const reported: string[][] = [];
  let isFailing = fails;
  const fail = (is: boolean) => void (isFailing = is);
  const relay = new AnnouncementRelay({
    db: log.db,
    clock: {every: () => ticks, now: () => time.now} as unknown as Clock,
    logger,
    canAnswer: () => canAnswer,
    ageMs: () => ageMs,
    reportToLeader: async workers => {
      if (isFailing) throw new Error('no leader');
      reported.push([...workers]);
    },
  });
  relay.start();
  return {relay, reported, tick: () => ticks.next(0), log, fail, time};
};

describe('announcement relay', () => {
  it('announcements without changes are reported to the leader in one batch', () => {
    const {relay, reported, tick, log} = makeRelay();
    log.addWorker('w2', {sequence: 1});
    for (let sequence = 2; sequence < 12; sequence++)
      for (const worker of ['w1', 'w2'])
        expect(relay.take(testWorker(worker, {sequence}))).to.equal(true);
    tick();
    tick();
    expect(reported).to.eql([['w1', 'w2']]);
  });
  it('an announcement with unrecorded changes is left to the leader', () => {
    const {relay} = makeRelay();
    const take = (worker: string, part: object) =>
      relay.take(testWorker(worker, {sequence: 9, ...part}));
    expect(take('w1', {isDraining: true})).to.equal(false);
    expect(take('w1', {bornAt: 2})).to.equal(false);
    expect(take('w1', {address: '10.0.0.9:80'})).to.equal(false);
    expect(take('unknown', {})).to.equal(false);
  });
  it('an announcement of an earlier incarnation is neither acknowledged nor reported', () => {
    const {relay, reported, tick, log} = makeRelay();
    log.addWorker('w1', {bornAt: 5, sequence: 1});
    expect(relay.take(testWorker('w1', {bornAt: 1, sequence: 9}))).to.equal(
      false,
    );
    tick();
    expect(reported).to.eql([]);
  });
  it('a delayed announcement is acknowledged but not reported', () => {
    const {relay, reported, tick} = makeRelay();
    relay.take(testWorker('w1', {sequence: 8}));
    tick();
    expect(relay.take(testWorker('w1', {sequence: 7}))).to.equal(true);
    tick();
    expect(reported).to.have.length(1);
  });
  it('nothing is acknowledged without contact to a leader', () => {
    const {relay} = makeRelay({canAnswer: false});
    expect(relay.take(testWorker('w1', {sequence: 2}))).to.equal(false);
  });
  it('workers in a failed report are reported again', async () => {
    const {relay, reported, tick, fail} = makeRelay();
    fail(true);
    relay.take(testWorker('w1', {sequence: 2}));
    tick();
    await pause(systemClock, 1);
    expect(reported).to.eql([]);
    fail(false);
    tick();
    expect(reported).to.eql([['w1']]);
  });
  it('an announcement that has become old is not reported again', async () => {
    const {relay, reported, tick, fail, time} = makeRelay();
    fail(true);
    relay.take(testWorker('w1', {sequence: 2}));
    time.now = 1500;
    tick();
    await pause(systemClock, 1);
    fail(false);
    tick();
    expect(reported).to.eql([]);
  });
  it('announcements are acknowledged up to a replica age of 1000 ms', () => {
    const take = (ageMs: number) =>
      makeRelay({ageMs}).relay.take(testWorker('w1', {sequence: 2}));
    expect([251, 1000, 1001].map(take)).to.eql([true, true, false]);
  });
  it('a failed report to the leader does not throw', () => {
    const {relay, tick} = makeRelay({fails: true});
    relay.take(testWorker('w1', {sequence: 2}));
    expect(tick).to.not.throw();
  });
});
