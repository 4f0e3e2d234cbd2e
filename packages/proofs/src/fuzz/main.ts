/**
 * Long-running fuzzer: `npm run fuzz -- --minutes N --seed S`. Each round runs
 * every plan with the same seed, which is printed, and the next round takes the
 * next seed. A failure ends the process.
 */
import {consensusPlan} from '../consensus/plans.js';
import {followPlan} from '../propagation/plans.js';
import {workflowPlan} from '../workflow/plans.js';
import {lossyLoadPlan, zonePlan} from '../zone/plans.js';
import {runFuzz, runFuzzAsync} from './run_fuzz.js';

const ROUND_RUNS = 50;
const MINUTE_MS = 60_000;

const numberOption = (name: string, fallback: number): number => {
  const at = process.argv.indexOf(`--${name}`);
  return at < 0 ? fallback : Number(process.argv[at + 1]);
};

interface Round {
  readonly name: string;
  readonly run: (seed: number) => Promise<void> | void;
}

/** All fuzzing plans; each is given the seed of the round. */
const ROUNDS: readonly Round[] = [
  {
    name: 'cell-log-3',
    run: seed => runFuzz(consensusPlan(3, seed, ROUND_RUNS)),
  },
  {
    name: 'cell-log-5',
    run: seed => runFuzz(consensusPlan(5, seed, ROUND_RUNS)),
  },
  {
    name: 'propagation',
    run: seed => runFuzzAsync(followPlan(seed, ROUND_RUNS)),
  },
  {
    name: 'workflow',
    run: seed => runFuzzAsync(workflowPlan(seed, ROUND_RUNS)),
  },
  {name: 'zone-3', run: seed => runFuzzAsync(zonePlan(3, seed, ROUND_RUNS))},
  {name: 'zone-2', run: seed => runFuzzAsync(zonePlan(2, seed, ROUND_RUNS))},
  {
    name: 'lossy-load',
    run: seed => runFuzzAsync(lossyLoadPlan(seed, ROUND_RUNS)),
  },
];

const minutes = numberOption('minutes', 1);
const firstSeed = numberOption('seed', 1);
const deadline = performance.now() + minutes * MINUTE_MS;
let seed = firstSeed;
while (performance.now() < deadline) {
  for (const {name, run} of ROUNDS) {
    process.stdout.write(`${name} seed ${seed}: `);
    await run(seed);
    process.stdout.write(`${ROUND_RUNS} runs passed\n`);
  }
  seed++;
}
