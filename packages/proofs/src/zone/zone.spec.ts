import {runFuzzAsync} from '../fuzz/run_fuzz.js';
import {lossyLoadPlan, plannedStopPlan, zonePlan} from './plans.js';

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 200);

describe('zone under faults', () => {
  it('a zone of three VMs keeps its guarantees for requests and jobs', () =>
    runFuzzAsync(zonePlan(3, 6101, RUNS))).timeout(600_000);
  it('a second draw of a zone of three VMs keeps its guarantees for requests and jobs', () =>
    runFuzzAsync(zonePlan(3, 9001, RUNS))).timeout(600_000);
  it('a zone of two VMs and a witness keeps its guarantees for requests and jobs', () =>
    runFuzzAsync(zonePlan(2, 6102, RUNS))).timeout(600_000);
  it('no upstream is given more than its slots while connections break', () =>
    runFuzzAsync(lossyLoadPlan(6103, RUNS))).timeout(600_000);
  it('planned stops lose no request', () =>
    runFuzzAsync(plannedStopPlan(6104, RUNS))).timeout(600_000);
  // Two of three grantors stop at once; a request waits until the zone has a
  // leader again.
  it('planned stops that leave no majority lose no request', () =>
    runFuzzAsync(plannedStopPlan(9, 44))).timeout(600_000);
});
