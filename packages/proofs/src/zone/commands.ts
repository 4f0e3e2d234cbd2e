/** Commands of the stateful fuzzing of one zone. */
import fc from 'fast-check';
import {NO_FAULTS, type NetworkFaults} from '../world/fake_network.js';
import type {ZoneWorld} from './zone_world.js';

/** Empty, because the oracle holds the expected state. */
export type EmptyModel = Record<string, never>;

type Command = fc.AsyncCommand<EmptyModel, ZoneWorld>;

const command = (
  name: string,
  run: (world: ZoneWorld) => Promise<void> | void,
): Command => ({
  check: () => true,
  run: async (_model, world) => run(world),
  toString: () => name,
});

const NUMBER = fc.nat({max: 5});

const faults: fc.Arbitrary<NetworkFaults> = fc.record({
  lossPercent: fc.constantFrom(0, 3, 15),
  duplicatePercent: fc.constantFrom(0, 5, 20),
  maxDelayMs: fc.constantFrom(8, 50, 250),
});

const requestPlan = fc.record({
  vm: NUMBER,
  isIdempotent: fc.boolean(),
  key: fc.constant(undefined),
  serviceMs: fc.constantFrom(5, 50, 400, 3000),
  deadlineMs: fc.constantFrom(100, 1000, 4000),
  hangUpMs: fc.option(fc.integer({min: 1, max: 500}), {
    nil: undefined,
    freq: 4,
  }),
});

const keyedPlan = fc.record({
  vm: NUMBER,
  isIdempotent: fc.constant(false),
  key: fc.constantFrom('k1', 'k2', 'k3'),
  serviceMs: fc.constantFrom(5, 400),
  deadlineMs: fc.constantFrom(300, 4000),
  hangUpMs: fc.option(fc.integer({min: 1, max: 300}), {
    nil: undefined,
    freq: 4,
  }),
});

const jobPlan = fc.record({
  profile: fc.constantFrom(
    'again' as const,
    'once' as const,
    'spread' as const,
  ),
  taskCount: fc.integer({min: 1, max: 4}),
  gang: fc.boolean(),
  priority: fc.constantFrom(2, 5, 9),
  cpuMillis: fc.constantFrom(500, 1500, 3000),
  runMs: fc.constantFrom(50, 600, 3000),
  fails: fc.constantFrom(false, false, false, true),
});

const vmAt = (world: ZoneWorld, i: number) =>
  world.vms[i % world.vms.length]!.vm;
const placeAt = (world: ZoneWorld, i: number) =>
  world.endpoints[i % world.endpoints.length]!;

/** Commands of the general fuzzing plan of a zone. */
export const zoneCommands: Array<fc.Arbitrary<Command>> = [
  fc
    .integer({min: 10, max: 1500})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc.array(requestPlan, {minLength: 1, maxLength: 8}).map(plans =>
    command(`requests(${JSON.stringify(plans)})`, async world => {
      for (const plan of plans) world.request(plan);
      await world.advance(20);
    }),
  ),
  fc
    .array(requestPlan, {minLength: 1, maxLength: 8})
    .map(plans =>
      command(`requests(${JSON.stringify(plans)})`, world =>
        plans.forEach(plan => world.request(plan)),
      ),
    ),
  keyedPlan.map(plan =>
    command(`keyed(${JSON.stringify(plan)})`, world => world.request(plan)),
  ),
  jobPlan.map(plan =>
    command(`submit(${JSON.stringify(plan)})`, world => world.submit(plan)),
  ),
  jobPlan.map(plan =>
    command(`submit(${JSON.stringify(plan)})`, world => world.submit(plan)),
  ),
  fc
    .nat()
    .map(which => command(`cancel(${which})`, world => world.cancel(which))),
  NUMBER.map(i =>
    command(`crashVm(${i})`, world => world.crash(vmAt(world, i))),
  ),
  NUMBER.map(i => command(`bootVm(${i})`, world => world.boot(vmAt(world, i)))),
  fc.tuple(NUMBER, fc.integer({min: 100, max: 5000})).map(([i, ms]) =>
    command(`freezeVm(${i},${ms})`, async world => {
      const vm = world.vmOf(vmAt(world, i));
      if (!vm?.process.isAlive) return;
      vm.process.isFrozen = true;
      await world.advance(ms);
      vm.process.thaw();
    }),
  ),
  NUMBER.map(i =>
    command(`crashUpstream(${i})`, world => world.upstreams[i % 2]!.crash()),
  ),
  NUMBER.map(i =>
    command(`restartUpstream(${i})`, world =>
      world.upstreams[i % 2]!.restart(),
    ),
  ),
  NUMBER.map(i =>
    command(`leaveUpstream(${i})`, world => world.upstreams[i % 2]!.leave()),
  ),
  NUMBER.map(i =>
    command(`crashWorker(${i})`, world => world.workers[i % 3]!.crash()),
  ),
  NUMBER.map(i =>
    command(`restartWorker(${i})`, world => world.workers[i % 3]!.restart()),
  ),
  fc.tuple(NUMBER, fc.integer({min: 100, max: 6000})).map(([i, ms]) =>
    command(`freezeWorker(${i},${ms})`, async world => {
      const {process} = world.workers[i % 3]!;
      process.isFrozen = true;
      await world.advance(ms);
      process.thaw();
    }),
  ),
  fc
    .tuple(fc.nat(), fc.nat())
    .map(([a, b]) =>
      command(`cut(${a},${b})`, world =>
        world.network.cut(placeAt(world, a), placeAt(world, b)),
      ),
    ),
  fc.nat().map(a =>
    command(`isolate(${a})`, world => {
      for (const other of world.endpoints) {
        world.network.cut(placeAt(world, a), other);
        world.network.cut(other, placeAt(world, a));
      }
    }),
  ),
  fc.constant(command('heal', world => world.network.heal())),
  faults.map(given =>
    command(
      `faults(${JSON.stringify(given)})`,
      world => void (world.network.faults = given),
    ),
  ),
  fc.constant(
    command('calm', world => void (world.network.faults = NO_FAULTS)),
  ),
  fc
    .boolean()
    .map(isReachable =>
      command(
        `logReachable(${isReachable})`,
        world => void (world.log.isReachable = isReachable),
      ),
    ),
  fc
    .constantFrom(0, 20)
    .map(percent =>
      command(
        `logLoss(${percent})`,
        world => void (world.log.lossPercent = percent),
      ),
    ),
];

const longRequest = fc.record({
  vm: NUMBER,
  isIdempotent: fc.boolean(),
  key: fc.constant(undefined),
  serviceMs: fc.constantFrom(400, 3000),
  deadlineMs: fc.constantFrom(1000, 4000),
  hangUpMs: fc.constant(undefined),
});

/**
 * Commands that send more long requests than there are slots, over connections
 * that break: a request whose connection is lost keeps its slot.
 */
export const lossyLoadCommands: Array<fc.Arbitrary<Command>> = [
  fc.array(longRequest, {minLength: 3, maxLength: 8}).map(plans =>
    command(`requests(${JSON.stringify(plans)})`, async world => {
      for (const plan of plans) world.request(plan);
      await world.advance(20);
    }),
  ),
  fc
    .integer({min: 10, max: 900})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc
    .constantFrom(0, 15, 40)
    .map(lossPercent =>
      command(
        `loss(${lossPercent})`,
        world => void (world.network.faults = {...NO_FAULTS, lossPercent}),
      ),
    ),
];

const shortRequest = fc.record({
  vm: NUMBER,
  isIdempotent: fc.boolean(),
  key: fc.constant(undefined),
  serviceMs: fc.constantFrom(5, 50, 400),
  deadlineMs: fc.constant(6000),
  hangUpMs: fc.constant(undefined),
});

/**
 * Planned stops of daemons under load, over a network that delays and
 * duplicates messages.
 */
export const plannedStopCommands: Array<fc.Arbitrary<Command>> = [
  fc.array(shortRequest, {minLength: 1, maxLength: 5}).map(plans =>
    command(`requests(${JSON.stringify(plans)})`, async world => {
      for (const plan of plans) world.request(plan);
      await world.advance(100);
    }),
  ),
  fc
    .integer({min: 10, max: 1500})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc.constant(
    command('stopLeader', async world => {
      const {leader} = world;
      if (leader !== undefined) world.stop(leader);
      await world.advance(20);
    }),
  ),
  NUMBER.map(i => command(`stop(${i})`, world => world.stop(vmAt(world, i)))),
  NUMBER.map(i =>
    command(`bootIfEnded(${i})`, world => {
      const vm = vmAt(world, i);
      if (!world.vmOf(vm)?.process.isAlive) world.boot(vm);
    }),
  ),
  fc
    .record({duplicatePercent: fc.constantFrom(0, 20)})
    .map(given =>
      command(
        `faults(${JSON.stringify(given)})`,
        world => void (world.network.faults = {...NO_FAULTS, ...given}),
      ),
    ),
];
