import {runFuzz} from '../fuzz/run_fuzz.js';
import {lostDisksPlan} from './plans.js';

const RUNS = Math.ceil(Number(process.env['FUZZ_RUNS'] ?? 1400) / 8);

describe('cell log after a loss of disks', () => {
  it('five VMs keep what was accepted when two lose their disks and all lose power', () =>
    runFuzz(lostDisksPlan(5, 2, 5105, RUNS))).timeout(600_000);
  it('six VMs keep what was accepted when two lose their disks and all lose power', () =>
    runFuzz(lostDisksPlan(6, 2, 5106, RUNS))).timeout(600_000);
});
