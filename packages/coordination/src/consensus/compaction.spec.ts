import {expect} from 'chai';
import {asId, type Folder, type NodeId} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {singleVoterState} from './core.js';
import {IndexRecorder} from './fixtures.js';
import {ConsensusTask} from './task.js';
import type {Compaction} from './task_options.js';

const NODE = asId<NodeId>('a~1');
const folder: Folder = {
  read: async () => undefined,
  append: async () => undefined,
  truncate: async () => undefined,
  replace: async () => undefined,
  close: async () => undefined,
};

describe('compaction of the log', () => {
  it('each snapshot is reported once, with the number of entries it replaced', async () => {
    const compactions: Compaction[] = [];
    const replica = new IndexRecorder();
    const task = new ConsensusTask<string, number>({
      node: NODE,
      folder,
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
});
