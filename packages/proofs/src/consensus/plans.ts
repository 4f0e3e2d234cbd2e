import type {FuzzPlan} from '../fuzz/run_fuzz.js';
import {consensusCommands, type EmptyModel} from './commands.js';
import {ConsensusSim} from './sim.js';

/**
 * Fuzzing of the cell log with a number of voters.
 * @param voters - 3 or 5.
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
