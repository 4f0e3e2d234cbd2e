import {expect} from 'chai';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import type {WorkflowCommand} from '@primrosewick/state';
import {pause, systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from '../workflow/replica.js';
import {ReplicaReader} from '../workflow/replica_reader.js';
import {BlockingReadsTask, type ReleasedRead} from './task.js';

/** Time for which the reads here wait, in ms. */
const WAIT_MS = 400;

const END: WorkflowCommand = {
  kind: 'end_runs',
  life: {worker: 'w1' as never, bornAt: 1},
  ends: [
    {
      sequence: 1,
      task: testTask('a', 0, 0),
      run: 1,
      outcome: 'done',
      checkpoint: '',
    },
  ],
  at: 2000,
};

/** A replica with workflow a, which runs, and b, which is queued. */
const makeReader = (maxReads = 10) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  log.submit('b', testSpec([testStep()]));
  log.start('w1', testTask('a', 0, 0));
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  replica.open();
  const age = {ms: 0};
  const ageMs = (): number => age.ms;
  const released: ReleasedRead[] = [];
  const blocking = new BlockingReadsTask({
    replica,
    clock: systemClock,
    isFresh: () => age.ms <= 250,
    maxReads,
    onReleased: each => released.push(each),
  });
  const reader = new ReplicaReader({
    replica,
    clock: systemClock,
    ageMs,
    blocking,
  });
  const {host, prefix} = log.db.bundle!.queues[0]!;
  const readState = async (id = 'a', signal?: AbortSignal) => {
    const deadline = systemClock.now() + WAIT_MS;
    const wait = signal ? {deadline, signal} : {deadline};
    const address = {host, path: `${prefix}${id}`};
    const {answer} = await reader.readBlocking(address, 0, wait);
    return answer?.kind === 'state' ? answer.state : answer?.kind;
  };
  const applyEnd = () =>
    replica.apply({index: replica.index + 1, command: END});
  return {log, replica, age, blocking, released, readState, applyEnd};
};
const reasons = (released: readonly ReleasedRead[]) =>
  released.map(({why}) => why);
/** Time that a promise takes, in ms. */
const timeOf = async (promise: Promise<unknown>): Promise<number> => {
  const beganAt = systemClock.now();
  await promise;
  return systemClock.now() - beganAt;
};

describe('reads that wait for an end', () => {
  it('a caller that asks 41 ms before an end is told of it without asking again', async () => {
    const {readState, applyEnd, released} = makeReader();
    setTimeout(applyEnd, 41);
    expect(await readState()).to.equal('done');
    expect(released[0]).to.include({queue: 'queue', why: 'ended'});
  });
  it('a workflow that goes on is told as running after the wait', async () => {
    const {readState, released} = makeReader();
    const tookMs = await timeOf(
      readState().then(state => expect(state).to.equal('running')),
    );
    expect(tookMs).to.be.within(WAIT_MS - 5, WAIT_MS + 150);
    expect(reasons(released)).to.eql(['deadline']);
  });
  it('a queued workflow, a missing one and a count of pending ones are not waited for', async () => {
    const {readState, released} = makeReader();
    expect(await readState('b')).to.equal('queued');
    expect(await readState('unheard')).to.equal(undefined);
    expect(await readState('')).to.equal('pending');
    expect(released).to.eql([]);
  });
  it('an end that is not committed is not told', async () => {
    const {readState, replica} = makeReader();
    setTimeout(() => replica.apply({index: replica.index + 1}), 20);
    expect(await readState()).to.equal('running');
  });
  it('a cancelled workflow is told at once', async () => {
    const {readState, replica} = makeReader();
    const command = {kind: 'cancel', id: 'a', at: 1} as unknown as typeof END;
    setTimeout(() => replica.apply({index: replica.index + 1, command}), 20);
    expect(await readState()).to.equal('cancelled');
  });
  it('a caller that goes frees its place', async () => {
    const {readState, blocking, released} = makeReader();
    const controller = new AbortController();
    const read = readState('a', controller.signal);
    await pause(systemClock, 20);
    expect(blocking.size).to.equal(1);
    controller.abort();
    expect(await timeOf(read)).to.be.lessThan(50);
    expect(blocking.size).to.equal(0);
    expect(reasons(released)).to.eql(['cancelled']);
  });
  it('a replica that loses contact to the leader answers what it knew', async () => {
    const {readState, age, released} = makeReader();
    const read = readState();
    await pause(systemClock, 10);
    age.ms = 300;
    expect(await read).to.equal('running');
    expect(reasons(released)).to.eql(['stale']);
  });
  it('a VM that drains answers at once, and later reads too', async () => {
    const {readState, blocking, released} = makeReader();
    const read = readState();
    await pause(systemClock, 10);
    blocking.stop();
    expect(await read).to.equal('running');
    expect(await timeOf(readState())).to.be.lessThan(50);
    expect(reasons(released)).to.eql(['stopping']);
  });
  it('a snapshot that contains the end releases its read', async () => {
    const {readState, log, replica, released} = makeReader();
    const read = readState();
    await pause(systemClock, 10);
    log.end('w1', testTask('a', 0, 0), 'done');
    replica.restore(log.db.toImage());
    expect(await read).to.equal('done');
    expect(reasons(released)).to.eql(['replaced']);
  });
  it('a full VM answers the oldest read at once', async () => {
    const {readState, released} = makeReader(1);
    const oldest = readState();
    await pause(systemClock, 10);
    const next = readState();
    expect(await timeOf(oldest)).to.be.lessThan(50);
    expect(reasons(released)).to.eql(['displaced']);
    await next;
  });
});
