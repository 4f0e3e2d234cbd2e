/** Commands of the stateful fuzzing of the cell log. */
import fc from 'fast-check';
import {NO_FAULTS, type NetworkFaults} from '../world/fake_network.js';
import type {ConsensusSim} from './sim.js';

/** Empty, because the oracle holds the expected state. */
export type EmptyModel = Record<string, never>;

type Command = fc.Command<EmptyModel, ConsensusSim>;

const command = (
  name: string,
  run: (sim: ConsensusSim) => void,
  check: () => boolean = () => true,
): Command => ({
  check,
  run: (_model, sim) => run(sim),
  toString: () => name,
});

const NODE = fc.nat({max: 4});

const faults: fc.Arbitrary<NetworkFaults> = fc.record({
  lossPercent: fc.constantFrom(0, 0, 5, 20),
  duplicatePercent: fc.constantFrom(0, 5, 20),
  maxDelayMs: fc.constantFrom(8, 50, 300),
});

/** All fuzzing commands of the cell log. */
export const consensusCommands: Array<fc.Arbitrary<Command>> = [
  fc
    .integer({min: 10, max: 1500})
    .map(ms => command(`advance(${ms})`, sim => sim.advance(ms))),
  fc
    .integer({min: 10, max: 200})
    .map(ms => command(`advance(${ms})`, sim => sim.advance(ms))),
  fc.tuple(NODE, fc.nat({max: 1}), fc.boolean()).map(([at, name, isStale]) =>
    command(`write(${at},${name},${isStale})`, sim => {
      sim.write(at, name, isStale);
      sim.advance(30);
    }),
  ),
  fc.tuple(NODE, NODE, fc.nat({max: 1})).map(([a, b, name]) =>
    command(`race(${a},${b},${name})`, sim => {
      sim.write(a, name, false);
      sim.write(b, name, false);
    }),
  ),
  fc
    .tuple(NODE, fc.nat())
    .map(([at, which]) =>
      command(`resend(${at},${which})`, sim => sim.resend(at, which)),
    ),
  fc.tuple(NODE, NODE, fc.integer({min: 2, max: 60})).map(([at, other, ms]) =>
    command(`writeAndCrash(${at},${other},${ms})`, sim => {
      sim.write(at, 0, false);
      sim.advance(ms);
      sim.node(other).crash();
      sim.advance(ms);
      sim.node(at).crash();
      sim.node(other).start();
    }),
  ),
  NODE.map(at => command(`crash(${at})`, sim => sim.node(at).crash())),
  NODE.map(at => command(`start(${at})`, sim => sim.node(at).start())),
  fc.tuple(NODE, fc.integer({min: 1, max: 2000})).map(([at, ms]) =>
    command(`restart(${at},${ms})`, sim => {
      sim.node(at).crash();
      sim.advance(ms);
      sim.node(at).start();
    }),
  ),
  NODE.map(at =>
    command(`loseDisk(${at})`, sim => {
      if (!sim.canLoseDisk(at)) return;
      sim.node(at).loseDisk();
      sim.node(at).start();
    }),
  ),
  NODE.map(at =>
    command(`failDisk(${at})`, sim => {
      sim.node(at).isDiskFailing = true;
      sim.advance(200);
      sim.node(at).isDiskFailing = false;
    }),
  ),
  NODE.map(at =>
    command(
      `freeze(${at})`,
      sim => void (sim.node(at).isFrozen = sim.node(at).isUp),
    ),
  ),
  NODE.map(at => command(`thaw(${at})`, sim => sim.node(at).thaw())),
  fc
    .tuple(NODE, NODE)
    .map(([a, b]) =>
      command(`cut(${a},${b})`, sim =>
        sim.network.cut(sim.node(a).vm, sim.node(b).vm),
      ),
    ),
  NODE.map(at => command(`isolate(${at})`, sim => isolate(sim, at))),
  fc.constant(command('heal', sim => sim.network.heal())),
  faults.map(given =>
    command(
      `faults(${JSON.stringify(given)})`,
      sim => void (sim.network.faults = given),
    ),
  ),
  fc.constant(command('calm', sim => void (sim.network.faults = NO_FAULTS))),
  NODE.map(at =>
    command(`loseLeader(${at})`, sim =>
      sim.node(at).offer({kind: 'leader_lost', now: sim.queue.now}),
    ),
  ),
  NODE.map(at =>
    command(`transfer(${at})`, sim =>
      sim.node(at).offer({kind: 'transfer', now: sim.queue.now}),
    ),
  ),
];

const isolate = (sim: ConsensusSim, at: number): void => {
  const {vm} = sim.node(at);
  for (const other of sim.nodes) {
    sim.network.cut(vm, other.vm);
    sim.network.cut(other.vm, vm);
  }
};
