import {runFuzzAsync} from '../fuzz/run_fuzz.js';
import {followPlan} from './plans.js';

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 200);

describe('propagation under faults', () => {
  it('no copy goes back to an older revision, and all catch up', () =>
    runFuzzAsync(followPlan(6301, RUNS))).timeout(600_000);
});
