/**
 * `npm run bench`: prints all benchmark tables, with the baselines measured in
 * the same run. A first argument selects the benchmarks whose function name
 * contains it; a second one is the baseline bundle of `benchIdle`.
 */
import {cpus} from 'node:os';
import {benchAuthentication} from './authentication.js';
import {benchEntry} from './entry.js';
import {benchIdleVms} from './idle.js';
import {
  benchLog,
  benchPropagation,
  benchRecovery,
  benchRestart,
} from './log.js';
import {benchPlannerPasses} from './passes.js';
import {benchCancel, benchDecisions, benchPacking} from './placing.js';
import {formatTable, type Table} from './report.js';
import {benchSchedulingDays} from './scheduling/day_table.js';
import {benchUnevenWorkers} from './scheduling/uneven.js';
import {benchScheduling} from './scheduling/table.js';
import {benchUrgent} from './urgent.js';
import {benchWaiting} from './waiting.js';

const SEED = 7001;

const BENCHES: ReadonlyArray<() => Promise<Table> | Table> = [
  function benchWaits() {
    return benchWaiting(SEED);
  },
  function benchWorkflows() {
    return benchScheduling(SEED);
  },
  function benchDays() {
    return benchSchedulingDays(SEED);
  },
  function benchUneven() {
    return benchUnevenWorkers(SEED);
  },
  function benchPasses() {
    return benchPlannerPasses(SEED);
  },
  function benchDecide() {
    return benchDecisions(SEED);
  },
  function benchPack() {
    return benchPacking(SEED);
  },
  benchCancel,
  benchUrgent,
  benchAuthentication,
  benchEntry,
  function benchIdle() {
    return benchIdleVms(process.argv[3]);
  },
  benchLog,
  benchRecovery,
  benchRestart,
  benchPropagation,
];

process.stdout.write(`Node ${process.version}, ${cpus().length} cores\n\n`);
const nameFilter = process.argv[2] ?? '';
const selected = BENCHES.filter(bench => bench.name.includes(nameFilter));
for (const bench of selected)
  process.stdout.write(`${formatTable(await bench())}\n`);
process.exit(0);
