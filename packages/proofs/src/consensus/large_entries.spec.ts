import {runFuzz} from '../fuzz/run_fuzz.js';
import {largeEntriesPlan} from './plans.js';

const RUNS = Math.ceil(Number(process.env['FUZZ_RUNS'] ?? 1400) / 2);

describe('cell log with large entries', () => {
  // Guards against members that never catch up, as their messages exceed a frame.
  it('three voters keep the guarantees of the log', () =>
    runFuzz(largeEntriesPlan(3, 5107, RUNS))).timeout(600_000);
});
