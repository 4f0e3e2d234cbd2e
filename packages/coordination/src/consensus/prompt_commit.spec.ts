import {expect} from 'chai';
import {asId, type Folder, type NodeId, type VmId} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {emptyState} from './core.js';
import type {PackedEnvelope} from './packing.js';
import {ConsensusTask, type ReplicatedStateMachine} from './task.js';
import type {DurableState} from './types.js';

const NODES = ['a~1', 'b~1'].map(id => asId<NodeId>(id));
const VMS = ['a', 'b'].map(id => asId<VmId>(id));

/** A state machine that only records its index. */
class IndexRecorder implements ReplicatedStateMachine<string, number> {
  index = 0;

  apply({index}: {readonly index: number}): number {
    this.index = index;
    return index;
  }

  restore(): void {}

  toImage() {
    return {index: this.index};
  }

  open(): void {}

  noteFresh(): void {}
}

const twoVoters = (): DurableState<string> => ({
  ...emptyState<string>(),
  hardState: {term: 1, votedFor: null},
  entries: [
    {
      term: 1,
      index: 1,
      body: {kind: 'members', members: {voters: NODES, learners: []}},
    },
  ],
});

/** A disk whose syncs end when the test says so. */
class HeldDisk {
  private readonly held: Array<() => void> = [];
  isHolding = false;
  /** Syncs that have not ended. */
  get open(): number {
    return this.held.length;
  }

  readonly folder: Folder = {
    read: async () => undefined,
    append: () => this.sync(),
    truncate: async () => undefined,
    replace: async () => undefined,
    close: async () => undefined,
  };

  /** Ends the oldest sync. */
  release(): void {
    this.held.shift()?.();
  }

  private sync(): Promise<void> {
    if (!this.isHolding) return Promise.resolve();
    return new Promise(resolve => this.held.push(resolve));
  }
}

const turns = async (count: number): Promise<void> => {
  for (let turn = 0; turn < count; turn++)
    await new Promise(resolve => setImmediate(resolve));
};

/** Two voters joined by direct calls; the second one never stands for election. */
const makePair = () => {
  const disks = [new HeldDisk(), new HeldDisk()];
  const tasks: Array<ConsensusTask<string, number>> = NODES.map(
    (node, i) =>
      new ConsensusTask<string, number>({
        node,
        folder: disks[i]!.folder,
        restored: twoVoters(),
        replica: new IndexRecorder(),
        peers: {
          call: async (_to, _method, {envelopes}) => ({
            envelopes: await tasks[1 - i]!.receive(
              VMS[i]!,
              envelopes as Array<PackedEnvelope<string>>,
            ),
          }),
        },
        clock: systemClock,
        timing: {heartbeatMs: 20, electionMs: i === 0 ? 40 : 60_000},
        seed: 1,
        maxProposals: 100,
        onFailure: err => expect.fail(err.message),
      }),
  );
  return {tasks, leader: tasks[0]!, disk: disks[0]!};
};

describe('commits of a leader that keeps writing', () => {
  it('a commit does not wait for the write of later proposals', async () => {
    const {tasks, leader, disk} = makePair();
    try {
      const elected = new Promise<void>(resolve =>
        leader.changes.subscribe(({role}) => role === 'leader' && resolve()),
      );
      for (const task of tasks) task.start();
      await elected;
      await leader.propose('warm up');
      await new Promise(resolve => setTimeout(resolve, 20));
      disk.isHolding = true;
      let isCommitted = false;
      const first = leader.propose('first').then(() => (isCommitted = true));
      // The follower's reply arrives while the leader still writes.
      await turns(20);
      expect(disk.open).to.equal(1);
      disk.release();
      const second = leader.propose('second');
      // The write of the second proposal has begun and has not ended.
      while (disk.open === 0) await turns(1);
      await turns(20);
      expect(isCommitted).to.equal(true);
      disk.isHolding = false;
      disk.release();
      await Promise.all([first, second]);
    } finally {
      for (const task of tasks) task.stop();
    }
  }).timeout(5000);
});
