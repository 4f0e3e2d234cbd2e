import type {FuzzPlan} from '../fuzz/run_fuzz.js';
import {consensusCommands, type EmptyModel} from './commands.js';
import {ConsensusSim} from './sim.js';

/**
 * Fuzzing plan for the cell log.
 * @param voters - Number of voters, 3 or 5.
 */
export const consensusPlan = (
  voters: number,
  seed: number,
  runs: number,
): FuzzPlan<EmptyModel, ConsensusSim> => ({
  name: `cell-log-${voters}`,
  seed,
  runs,
  commands: consensusCommands,
  setUp: worldSeed => new ConsensusSim(worldSeed, voters),
  finish: sim => sim.settle(),
});
