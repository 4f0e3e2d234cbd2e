import {expect} from 'chai';
import {Subject, type Observable} from 'rxjs';
import {
  asId,
  seededRandom,
  type Folder,
  type NodeId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {ConsensusCore} from './core.js';
import {EntryPacker, unpackEnvelope, type PackedEnvelope} from './packing.js';
import {ConsensusTask, type LogMachine} from './task.js';
import type {Restored} from './types.js';

const VOTERS = ['a', 'b', 'c'].map(name => asId<NodeId>(`${name}~1`));
const [LEADER, ...OTHERS] = VOTERS as [NodeId, ...NodeId[]];
const RESTORED: Restored<string> = {
  hardState: {term: 1, votedFor: null},
  snapshot: null,
  entries: [
    {
      term: 1,
      index: 1,
      body: {kind: 'members', members: {voters: VOTERS, learners: []}},
    },
  ],
};
const folder: Folder = {
  read: async () => undefined,
  append: async () => undefined,
  truncate: async () => undefined,
  replace: async () => undefined,
  close: async () => undefined,
};

/** A clock that stands still until it is moved. */
class ManualClock implements Clock {
  private time = 0;
  private readonly ticks = new Subject<void>();
  private timers: Array<{readonly at: number; readonly timer: Subject<void>}> =
    [];

  now(): number {
    return this.time;
  }

  wall(): number {
    return this.time;
  }

  every(): Observable<void> {
    return this.ticks;
  }

  after(delayMs: number): Observable<void> {
    const timer = new Subject<void>();
    this.timers.push({at: this.time + delayMs, timer});
    return timer;
  }

  /** Moves on, with what falls due, and then ticks. */
  move(ms: number): void {
    this.time += ms;
    const due = this.timers.filter(({at}) => at <= this.time);
    this.timers = this.timers.filter(({at}) => at > this.time);
    for (const {timer} of due) {
      timer.next();
      timer.complete();
    }
    this.ticks.next();
  }
}

/** A machine that only counts. */
const makeMachine = (): LogMachine<string, number> => {
  const machine = {
    index: 0,
    apply: ({index}: {readonly index: number}) => (machine.index = index),
    restore: () => undefined,
    toImage: () => ({index: machine.index}),
    open: () => undefined,
    noteFresh: () => undefined,
  };
  return machine;
};

/** Lets all that waits for no clock happen. */
const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 30; turn++)
    await new Promise(resolve => setImmediate(resolve));
};

/** A leader whose followers answer at once. */
const makeLeader = async () => {
  const clock = new ManualClock();
  const packer = new EntryPacker<string>();
  const cores = OTHERS.map(
    id =>
      new ConsensusCore<string>({
        id,
        restored: RESTORED,
        random: seededRandom(7),
        now: 0,
        timing: {electionMs: 1e9, quickElectionMs: 1e9},
      }),
  );
  const task = new ConsensusTask<string, number>({
    node: LEADER,
    folder,
    restored: RESTORED,
    replica: makeMachine(),
    peers: {
      call: async (_vm, _method, {envelopes}) => ({
        envelopes: (envelopes as Array<PackedEnvelope<string>>).flatMap(
          packed => {
            const envelope = unpackEnvelope(packed);
            const core = cores.find(({status}) => status.id === packed.to);
            const input = {
              kind: 'message',
              now: clock.now(),
              envelope,
            } as const;
            return (core?.step(input).messages ?? []).map(sent =>
              packer.pack(sent),
            );
          },
        ),
      }),
    },
    clock,
    timing: {heartbeatMs: 120, electionMs: 700, quickElectionMs: 150},
    seed: 1,
    maxProposals: 100,
    onFailure: err => expect.fail(err.message),
  });
  task.start();
  for (let step = 0; step < 20; step++) {
    clock.move(100);
    await settle();
  }
  expect(task.status.role).to.equal('leader');
  return {clock, task};
};

/** Whether something happens without any time passing. */
const happensAtOnce = async (what: Promise<unknown>): Promise<boolean> => {
  let hasHappened = false;
  what.then(() => (hasHappened = true)).catch(() => undefined);
  await settle();
  return hasHappened;
};

describe('what a leader holds back between two writes', () => {
  it('answers of followers are taken, so that a commit waits for no other write', async () => {
    const {task} = await makeLeader();
    expect(await happensAtOnce(task.propose('p'))).to.equal(true);
    task.stop();
  });
  it('a question is asked at once', async () => {
    const {task} = await makeLeader();
    void task.propose('p').catch(() => undefined);
    await settle();
    expect(await happensAtOnce(task.readIndex())).to.equal(true);
    task.stop();
  });
  it('proposals gather until the next write', async () => {
    const {clock, task} = await makeLeader();
    void task.propose('p').catch(() => undefined);
    await settle();
    const later = [task.propose('q'), task.propose('r')];
    expect(await happensAtOnce(Promise.race(later))).to.equal(false);
    clock.move(9);
    expect(await happensAtOnce(Promise.all(later))).to.equal(true);
    task.stop();
  });
});
