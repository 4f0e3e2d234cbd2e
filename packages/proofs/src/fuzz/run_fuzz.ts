import fc from 'fast-check';

/** A stateful fuzzing plan. */
export interface FuzzPlan<M extends object, R> {
  readonly name: string;
  readonly seed: number;
  readonly runs: number;
  readonly commands: Array<fc.Arbitrary<fc.Command<M, R>>>;
  /** Creates the system under test; the seed determines all its randomness. */
  readonly setUp: (seed: number) => R;
  /** Ends a run and checks its final state. */
  readonly finish: (real: R) => void;
  readonly maxCommands?: number;
}

const MAX_COMMANDS = 200;
const MAX_SEED = 2 ** 30;

/**
 * Runs a fuzzing plan. The error of a failure names its seed and path.
 * @throws Error with the failing commands, shrunk only if FUZZ_SHRINK is set.
 */
export const runFuzz = <M extends object, R>(plan: FuzzPlan<M, R>): void => {
  const {commands, setUp, finish, seed, runs} = plan;
  const all = fc.commands(commands, {
    maxCommands: plan.maxCommands ?? MAX_COMMANDS,
    size: 'max',
  });
  const property = fc.property(
    fc.integer({min: 1, max: MAX_SEED}),
    all,
    (worldSeed, cmds) => {
      const real = setUp(worldSeed);
      fc.modelRun(() => ({model: {} as M, real}), cmds);
      finish(real);
    },
  );
  fc.assert(property, {
    seed,
    numRuns: runs,
    endOnFailure: process.env['FUZZ_SHRINK'] === undefined,
  });
};

/** A stateful fuzzing plan with asynchronous commands. */
export interface AsyncFuzzPlan<M extends object, R> {
  readonly name: string;
  readonly seed: number;
  readonly runs: number;
  readonly commands: Array<fc.Arbitrary<fc.AsyncCommand<M, R>>>;
  readonly setUp: (seed: number) => Promise<R>;
  readonly finish: (real: R) => Promise<void>;
  readonly maxCommands?: number;
}

/**
 * Runs a fuzzing plan with asynchronous commands.
 * @throws Error with the failing commands, shrunk only if FUZZ_SHRINK is set.
 */
export const runFuzzAsync = async <M extends object, R>(
  plan: AsyncFuzzPlan<M, R>,
): Promise<void> => {
  const {commands, setUp, finish, seed, runs} = plan;
  const all = fc.commands(commands, {
    maxCommands: plan.maxCommands ?? MAX_COMMANDS,
    size: 'max',
  });
  const property = fc.asyncProperty(
    fc.integer({min: 1, max: MAX_SEED}),
    all,
    async (worldSeed, cmds) => {
      const real = await setUp(worldSeed);
      await fc.asyncModelRun(() => ({model: {} as M, real}), cmds);
      await finish(real);
    },
  );
  await fc.assert(property, {
    seed,
    numRuns: runs,
    endOnFailure: process.env['FUZZ_SHRINK'] === undefined,
  });
};
