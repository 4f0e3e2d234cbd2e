/** A state machine and a pair of voters for tests; the test holds the writes of their disks. */
import {asId, type Folder, type NodeId, type VmId} from '@primrosewick/state';
import {pause, systemClock} from '@primrosewick/transport';
import {emptyState} from './core.js';
import type {ReplicatedStateMachine} from './task_options.js';
import {ConsensusTask} from './task.js';
import type {DurableState} from './types.js';

const NODES = ['a~1', 'b~1'].map(id => asId<NodeId>(id));
const VMS = ['a', 'b'].map(id => asId<VmId>(id));

/** A state machine that only records its index. */
export class IndexRecorder implements ReplicatedStateMachine<string, number> {
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
export class HeldDisk {
  private readonly held: Array<() => void> = [];
  isHolding = false;
  /** Syncs that have not ended. */
  get open(): number {
    return this.held.length;
  }

  readonly folder: Folder = {
    read: async () => undefined,
    readParts: async function* () {},
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

/** Waits for turns of the event loop. */
export const turns = async (count: number): Promise<void> => {
  for (let turn = 0; turn < count; turn++)
    await new Promise(resolve => setImmediate(resolve));
};

/** Two voters of a pair. */
export interface Pair {
  readonly tasks: ReadonlyArray<ConsensusTask<string, number>>;
  readonly leader: ConsensusTask<string, number>;
  /** Disk of the leader. */
  readonly disk: HeldDisk;
}

/** Options of `makePair`. */
export interface PairOptions {
  /** Called with the sender of each call. */
  readonly onCall?: (from: NodeId) => void;
  /** Time that a call takes each way, in ms. */
  readonly delayMs?: number;
}

/** Two voters joined by calls; the second one never stands for election by itself. */
export const makePair = ({
  onCall = () => undefined,
  delayMs = 0,
}: PairOptions = {}): Pair => {
  const disks = [new HeldDisk(), new HeldDisk()];
  const tasks: Array<ConsensusTask<string, number>> = NODES.map(
    (node, i) =>
      new ConsensusTask<string, number>({
        node,
        folder: disks[i]!.folder,
        restored: twoVoters(),
        replica: new IndexRecorder(),
        peers: {
          call: async (_to, _method, {envelopes}) => {
            onCall(node);
            if (delayMs > 0) await pause(systemClock, delayMs);
            const reply = await tasks[1 - i]!.receive(VMS[i]!, envelopes);
            if (delayMs > 0) await pause(systemClock, delayMs);
            return {envelopes: reply};
          },
        },
        clock: systemClock,
        timing: {heartbeatMs: 20, electionMs: i === 0 ? 40 : 60_000},
        seed: 1,
        maxProposals: 100,
        onFailure: err => {
          throw err;
        },
      }),
  );
  return {tasks, leader: tasks[0]!, disk: disks[0]!};
};

/** Starts both voters; @returns once the first one leads and has committed an entry. */
export const startPair = async ({tasks, leader}: Pair): Promise<void> => {
  const elected = new Promise<void>(resolve =>
    leader.changes.subscribe(({role}) => role === 'leader' && resolve()),
  );
  for (const task of tasks) task.start();
  await elected;
  await leader.propose('warm up');
};
