import {expect} from 'chai';
import {runFuzz} from '../fuzz/run_fuzz.js';
import {LARGE_ENTRIES, largeEntriesPlan} from './plans.js';
import {ConsensusSim} from './sim.js';

const RUNS = Math.ceil(Number(process.env['FUZZ_RUNS'] ?? 1400) / 2);

describe('cell log with large entries', () => {
  // Guards against members that never catch up, as their messages exceed a frame.
  it('three voters keep the guarantees of the log', () =>
    runFuzz(largeEntriesPlan(3, 5107, RUNS))).timeout(600_000);
  // Guards against a transfer of a snapshot that begins anew with each compaction.
  it('an empty disk catches up while large writes go on without a pause', () => {
    const sim = new ConsensusSim(5109, 3, {...LARGE_ENTRIES, targetVoters: 3});
    const leader = sim.nodes.findIndex(node => node.status?.role === 'leader');
    const learner = sim.node(leader + 1);
    const write = (count: number): void => {
      for (let i = 0; i < count; i++) {
        sim.write(leader, i, false);
        sim.advance(60);
      }
    };
    write(80);
    learner.loseDisk();
    learner.start();
    write(120);
    const {voters} = sim.node(leader).status!.members;
    expect(voters).to.include(learner.id);
    sim.settle();
  });
  // Guards against logs that grow, in memory and on disk, while their entries are few.
  it('a voter that was down for a dozen large writes catches up, and no log grows', () => {
    const sim = new ConsensusSim(5108, 3, LARGE_ENTRIES);
    const leader = sim.nodes.findIndex(node => node.status?.role === 'leader');
    sim.node(leader + 1).crash();
    for (let i = 0; i < 12; i++) {
      sim.write(leader, i, false);
      sim.advance(200);
    }
    sim.node(leader + 1).start();
    sim.settle();
    expect(sim.node(leader + 1).readableReplica?.index).to.be.at.least(12);
  });
});
