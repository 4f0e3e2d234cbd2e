import {expect} from 'chai';
import {asId, vmOfNode, type Folder, type NodeId} from '@primrosewick/state';
import {sleep, systemClock} from '@primrosewick/transport';
import {IndexRecorder} from './fixtures.js';
import type {LogPeers} from './outbox.js';
import type {PackedEnvelope} from './packing.js';
import {ConsensusTask} from './task.js';
import type {DurableState, Members} from './types.js';

const NODES = ['a~1', 'b~1', 'c~1'].map(name => asId<NodeId>(name));
const MEMBERS: Members = {voters: NODES, learners: []};
const RESTORED: DurableState<string> = {
  hardState: {term: 1, votedFor: null},
  snapshot: null,
  entries: [{term: 1, index: 1, body: {kind: 'members', members: MEMBERS}}],
};
const ELECTION_MS = 100;
/** Maximum time until there is a leader, in ms. */
const FIND_MS = 1500;

/** A data folder whose writes take a given time. */
class SlowFolder implements Folder {
  writeMs = 0;

  async read(): Promise<undefined> {}

  async *readParts(): AsyncGenerator<Uint8Array> {}

  async truncate(): Promise<void> {}

  async close(): Promise<void> {}

  append(): Promise<void> {
    return this.write();
  }

  replace(): Promise<void> {
    return this.write();
  }

  private async write(): Promise<void> {
    if (this.writeMs > 0) await sleep(this.writeMs);
  }
}

type Task = ConsensusTask<string, number>;

interface Voter {
  readonly task: Task;
  readonly folder: SlowFolder;
}

/** Three voters that call each other directly. */
const makeCell = (): Voter[] => {
  const voters = new Map<string, Voter>();
  const peersOf = (from: NodeId): LogPeers => ({
    call: async (to, _method, {envelopes}) => ({
      envelopes: await voters
        .get(to)!
        .task.receive(
          vmOfNode(from),
          envelopes as ReadonlyArray<PackedEnvelope<string>>,
        ),
    }),
  });
  NODES.forEach((node, i) => {
    const folder = new SlowFolder();
    const task = new ConsensusTask<string, number>({
      node,
      folder,
      restored: RESTORED,
      replica: new IndexRecorder(),
      peers: peersOf(node),
      clock: systemClock,
      timing: {heartbeatMs: 20, electionMs: ELECTION_MS, quickElectionMs: 20},
      seed: i + 1,
      maxProposals: 100,
      onFailure: err => expect.fail(err.message),
    });
    voters.set(vmOfNode(node), {task, folder});
  });
  return [...voters.values()];
};

const findLeader = async (cell: readonly Voter[]): Promise<Voter> => {
  const deadline = systemClock.now() + FIND_MS;
  while (systemClock.now() < deadline) {
    const leader = cell.find(({task}) => task.status.role === 'leader');
    if (leader && leader.task.status.commitIndex > 1) return leader;
    await sleep(10);
  }
  throw new Error('no leader was elected');
};

/** Runs an action with three started voters and their leader. */
const withLeader = async (
  action: (leader: Voter, cell: readonly Voter[]) => Promise<void>,
): Promise<void> => {
  const cell = makeCell();
  for (const {task} of cell) task.start();
  try {
    await action(await findLeader(cell), cell);
  } finally {
    for (const {task} of cell) task.stop();
  }
};

describe('heartbeats of a leader', () => {
  it('a leader whose write takes longer than an election keeps its followers', () =>
    withLeader(async (leader, cell) => {
      const {term} = leader.task.status;
      leader.folder.writeMs = 5 * ELECTION_MS;
      await leader.task.propose('c');
      for (const {task} of cell) expect(task.status.term).to.equal(term);
      expect(leader.task.status.role).to.equal('leader');
    }));
  it('a follower whose write takes long is told that the leader lives', () =>
    withLeader(async (leader, cell) => {
      const {term} = leader.task.status;
      const follower = cell.find(voter => voter !== leader)!;
      follower.folder.writeMs = 5 * ELECTION_MS;
      await leader.task.propose('c');
      await sleep(7 * ELECTION_MS);
      expect(follower.task.status).to.include({role: 'follower', term});
    }));
});
