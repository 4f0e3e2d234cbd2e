import {expect} from 'chai';
import {asId, type Folder, type NodeId} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {COMPACTION_LIMITS, isCompactionDue} from './compaction.js';
import {singleVoterState} from './core.js';
import {IndexRecorder} from './fixtures.js';
import {ConsensusTask} from './task.js';
import type {Compaction} from './task_options.js';

const NODE = asId<NodeId>('a~1');
const LARGE_BYTES = 500_000;
/** Largest log, in bytes: a quarter of a disk of 128 MB. */
const MAX_LOG_BYTES = 32_000_000;

/** A folder that measures the file of the log. */
class MeasuredFolder implements Folder {
  /** Bytes of the log file at its longest. */
  longestLog = 0;
  private logBytes = 0;

  async read(): Promise<undefined> {}

  async *readParts(): AsyncGenerator<Uint8Array> {}

  async append(file: string, {length}: Uint8Array): Promise<void> {
    if (file === 'log') this.note(this.logBytes + length);
  }

  async truncate(): Promise<void> {}

  async replace(file: string, {length}: Uint8Array): Promise<void> {
    if (file === 'log') this.note(length);
  }

  async close(): Promise<void> {}

  private note(bytes: number): void {
    this.logBytes = bytes;
    this.longestLog = Math.max(this.longestLog, bytes);
  }
}

/** Starts the only voter of a cell; @returns it once it leads. */
const startAlone = async () => {
  const compactions: Compaction[] = [];
  const replica = new IndexRecorder();
  const file = new MeasuredFolder();
  const task = new ConsensusTask<string, number>({
    node: NODE,
    folder: file,
    restored: singleVoterState<string>(NODE),
    replica,
    peers: {call: async () => ({envelopes: []})},
    clock: systemClock,
    timing: {heartbeatMs: 10, electionMs: 20},
    seed: 1,
    maxProposals: 10_000,
    onFailure: err => expect.fail(err.message),
    onCompacted: compaction => compactions.push(compaction),
  });
  const elected = new Promise<void>(resolve =>
    task.changes.subscribe(({role}) => role === 'leader' && resolve()),
  );
  task.start();
  await elected;
  return {task, replica, file, compactions};
};

describe('compaction of the log', () => {
  it('each snapshot is reported once, with the number of entries it replaced', async () => {
    const {task, replica, compactions} = await startAlone();
    for (let round = 0; round < 2; round++)
      await Promise.all(Array.from({length: 4100}, () => task.propose('c')));
    await new Promise(resolve => setTimeout(resolve, 50));
    task.stop();
    expect(compactions).to.have.length(2);
    expect(compactions[1]!.index).to.equal(replica.index);
    expect(compactions[1]!.dropped).to.equal(
      compactions[1]!.index - compactions[0]!.index,
    );
    expect(compactions[0]!.dropped).to.equal(compactions[0]!.index);
    for (const {bytes, tookMs, writeMs} of compactions) {
      expect(bytes).to.be.greaterThan(0);
      expect(tookMs).to.be.within(0, 5000);
      expect(writeMs).to.be.within(0, 5000);
    }
  });
  // Guards against a voter that runs out of memory by a few hundred large entries.
  it('a log of few large entries is compacted, and its file stays small', async () => {
    const {task, file} = await startAlone();
    const command = 'c'.repeat(LARGE_BYTES);
    for (let i = 0; i < 200; i++) await task.propose(command);
    task.stop();
    expect(task.logSize.bytes).to.be.at.most(MAX_LOG_BYTES);
    expect(file.longestLog).to.be.at.most(MAX_LOG_BYTES);
  });
  it('a lagging member puts a compaction off, but not beyond the bounds', () => {
    const {entries, bytes, maxEntries, maxBytes} = COMPACTION_LIMITS;
    const log = {
      entries,
      bytes,
      fileBytes: 0,
      snapshotBytes: 0,
      isLagging: true,
      isTransferring: false,
    };
    expect(isCompactionDue(log)).to.equal(false);
    expect(isCompactionDue({...log, isLagging: false})).to.equal(true);
    expect(isCompactionDue({...log, entries: maxEntries})).to.equal(true);
    expect(isCompactionDue({...log, bytes: maxBytes})).to.equal(true);
    expect(isCompactionDue({...log, fileBytes: maxBytes})).to.equal(true);
  });
  // Guards against a transfer that begins anew with each snapshot, and never ends.
  it('a transfer of the snapshot puts a compaction off further', () => {
    const {maxBytes, maxTransferBytes} = COMPACTION_LIMITS;
    const log = {
      entries: 1,
      bytes: maxBytes,
      fileBytes: maxBytes,
      snapshotBytes: 0,
      isLagging: true,
      isTransferring: true,
    };
    expect(isCompactionDue(log)).to.equal(false);
    expect(isCompactionDue({...log, isTransferring: false})).to.equal(true);
    expect(isCompactionDue({...log, bytes: maxTransferBytes})).to.equal(true);
  });
  it('a log is not compacted for fewer bytes than its snapshot has, up to the bound', () => {
    const {bytes, maxBytes} = COMPACTION_LIMITS;
    const log = {
      entries: 1,
      bytes,
      fileBytes: 0,
      snapshotBytes: 4 * maxBytes,
      isLagging: false,
      isTransferring: false,
    };
    expect(isCompactionDue(log)).to.equal(false);
    expect(isCompactionDue({...log, bytes: maxBytes})).to.equal(true);
  });
});
