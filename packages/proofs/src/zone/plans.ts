import type {AsyncFuzzPlan} from '../fuzz/run_fuzz.js';
import {
  lossyLoadCommands,
  plannedStopCommands,
  zoneCommands,
  type EmptyModel,
} from './commands.js';
import {ZoneWorld} from './zone_world.js';

/**
 * Fuzzing plan for one zone.
 * @param zoneVms - Number of VMs: 3, or 2 for a zone with a witness.
 */
export const zonePlan = (
  zoneVms: number,
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, ZoneWorld> => ({
  name: `zone-${zoneVms}`,
  seed,
  runs,
  commands: zoneCommands,
  maxCommands: 60,
  setUp: async worldSeed => {
    const world = new ZoneWorld(worldSeed, zoneVms);
    await world.start();
    return world;
  },
  finish: world => world.settle(),
});

/**
 * Fuzzing plan for the slots of upstreams while connections break under load.
 */
export const lossyLoadPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, ZoneWorld> => ({
  ...zonePlan(3, seed, runs),
  name: 'lossy-load',
  commands: lossyLoadCommands,
  maxCommands: 30,
});

/**
 * Fuzzing plan for planned stops: no request that a daemon accepted may be lost
 * when it ends.
 */
export const plannedStopPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, ZoneWorld> => ({
  ...zonePlan(3, seed, runs),
  name: 'planned-stop',
  commands: plannedStopCommands,
  maxCommands: 40,
  finish: async world => {
    await world.settle();
    const {lost} = world;
    if (lost.length > 0)
      throw new Error(`${lost.join(', ')} ended with an unknown outcome`);
  },
});
