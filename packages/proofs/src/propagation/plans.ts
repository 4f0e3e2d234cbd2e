import fc from 'fast-check';
import type {AsyncFuzzPlan} from '../fuzz/run_fuzz.js';
import {NO_FAULTS, type NetworkFaults} from '../world/fake_network.js';
import {FollowWorld} from './follow_world.js';

type EmptyModel = Record<string, never>;
type Command = fc.AsyncCommand<EmptyModel, FollowWorld>;

const START_MS = 3000;

const command = (
  name: string,
  run: (world: FollowWorld) => Promise<void> | void,
): Command => ({
  check: () => true,
  run: async (_model, world) => run(world),
  toString: () => name,
});

const NUMBER = fc.nat({max: 5});
const vmAt = (world: FollowWorld, i: number) => world.vms[i]!.vm;

const cut = (world: FollowWorld, a: number, b: number): void => {
  world.hadFaults = true;
  world.network.cut(vmAt(world, a), vmAt(world, b));
};

const breakNetwork = (world: FollowWorld, faults: NetworkFaults): void => {
  world.hadFaults = true;
  world.network.faults = faults;
};

const commands: Array<fc.Arbitrary<Command>> = [
  fc
    .integer({min: 10, max: 4000})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc
    .constantFrom(1, 1, 5, 600, 5000)
    .map(count => command(`change(${count})`, world => world.change(count))),
  fc
    .integer({min: 1, max: 5})
    .map(i => command(`boot(${i})`, world => world.boot(vmAt(world, i)))),
  fc.integer({min: 1, max: 5}).map(i =>
    command(`changeAndBoot(${i})`, async world => {
      world.change(1);
      await world.advance(600);
      world.change(1);
      await world.advance(150);
      world.boot(vmAt(world, i));
    }),
  ),
  fc
    .tuple(NUMBER, fc.integer({min: 100, max: 9000}))
    .map(([i, ms]) =>
      command(`freeze(${i},${ms})`, world => world.freeze(vmAt(world, i), ms)),
    ),
  fc
    .tuple(NUMBER, NUMBER)
    .map(([a, b]) => command(`cut(${a},${b})`, world => cut(world, a, b))),
  fc.constant(command('heal', world => world.network.heal())),
  fc
    .record({
      lossPercent: fc.constantFrom(0, 20),
      duplicatePercent: fc.constantFrom(0, 20),
      maxDelayMs: fc.constantFrom(8, 900),
    })
    .map(faults =>
      command(`faults(${JSON.stringify(faults)})`, world =>
        breakNetwork(world, faults),
      ),
    ),
  fc.constant(
    command('calm', world => void (world.network.faults = NO_FAULTS)),
  ),
];

/** Fuzzing plan for VMs without a disk, which follow voters or one another. */
export const followPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, FollowWorld> => ({
  name: 'propagation',
  seed,
  runs,
  commands,
  maxCommands: 40,
  setUp: async worldSeed => {
    const world = new FollowWorld(worldSeed);
    await world.advance(START_MS);
    return world;
  },
  finish: world => world.settle(),
});
