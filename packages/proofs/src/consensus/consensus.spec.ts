import {expect} from 'chai';
import {runFuzz} from '../fuzz/run_fuzz.js';
import {consensusPlan} from './plans.js';
import {ConsensusSim} from './sim.js';

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 1400);

describe('cell log under faults', () => {
  it('three voters keep the guarantees of the log', () =>
    runFuzz(consensusPlan(3, 5101, RUNS))).timeout(600_000);
  it('five voters keep the guarantees of the log', () =>
    runFuzz(consensusPlan(5, 5102, Math.ceil(RUNS / 2)))).timeout(600_000);
  it('a voter isolated for an hour does not raise the term on its return', () => {
    const sim = new ConsensusSim(5103, 3);
    const isolated = sim.nodes.find(node => node.status?.role !== 'leader')!;
    for (const other of sim.nodes) {
      sim.network.cut(isolated.vm, other.vm);
      sim.network.cut(other.vm, isolated.vm);
    }
    sim.advance(3_600_000);
    const termBefore = Math.max(
      ...sim.nodes.map(node => node.status?.term ?? 0),
    );
    sim.network.heal();
    sim.advance(5000);
    expect(Math.max(...sim.nodes.map(node => node.status?.term ?? 0))).to.equal(
      termBefore,
    );
    sim.settle();
  });
  it('a voter that was down for 500 writes catches up', () => {
    const sim = new ConsensusSim(5104, 3);
    const leader = sim.nodes.findIndex(node => node.status?.role === 'leader');
    sim.node(leader + 1).crash();
    for (let i = 0; i < 500; i++) {
      sim.write(leader, i, false);
      sim.advance(60);
    }
    sim.node(leader + 1).start();
    sim.settle();
    expect(sim.node(leader + 1).readableReplica?.index).to.be.at.least(500);
  });
});
