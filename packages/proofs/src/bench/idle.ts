/** CPU time of the bundled daemon on the VMs of a cell without traffic. */
import {fileURLToPath} from 'node:url';
import {sleep, systemClock} from '@primrosewick/transport';
import {IdleCell, type IdleRole} from './idle_cell.js';
import {round, type Table} from './report.js';

const BUNDLE = fileURLToPath(
  new URL('../../../../target/primrosewickd.cjs', import.meta.url),
);
/** Settling time after the start that is not measured, in ms. */
const SETTLE_MS = 10_000;
const MEASURE_MS = 20_000;
const ROLES: readonly IdleRole[] = ['entry', 'follower', 'leader'];

const measureBundle = async (
  label: string,
  bundle: string,
): Promise<Table['rows']> => {
  const cell = await IdleCell.start(bundle);
  try {
    await sleep(SETTLE_MS);
    const before = await cell.readUsages(ROLES);
    const startedAt = systemClock.now();
    await sleep(MEASURE_MS);
    const after = await cell.readUsages(ROLES);
    const seconds = (systemClock.now() - startedAt) / 1000;
    return ROLES.map((role, i) => {
      const userMs = (after[i]!.userMs - before[i]!.userMs) / seconds;
      const kernelMs = (after[i]!.kernelMs - before[i]!.kernelMs) / seconds;
      const voluntarySwitches =
        (after[i]!.voluntarySwitches - before[i]!.voluntarySwitches) / seconds;
      return [
        label,
        role,
        round(userMs, 2),
        round(kernelMs, 2),
        round(userMs + kernelMs, 2),
        round(voluntarySwitches, 0),
      ];
    });
  } finally {
    await cell.stop();
  }
};

/**
 * Measures the CPU time of an idle entry, follower and leader. With a
 * `baseline`, the path of a bundle built from an earlier revision, that bundle
 * and the current one are measured alternately.
 */
export const benchIdleVms = async (baseline?: string): Promise<Table> => {
  const bundles: Array<readonly [string, string]> = [
    ...(baseline ? [['before', baseline] as const] : []),
    ['now', BUNDLE],
  ];
  const rows: Array<Table['rows'][number]> = [];
  const rounds = baseline ? 2 : 1;
  for (let i = 0; i < rounds; i++)
    for (const [code, bundle] of bundles)
      rows.push(...(await measureBundle(code, bundle)));
  return {
    heading: 'Idle VMs of a cell of six with a disk and one entry',
    columns: [
      'code',
      'role',
      'user ms a second',
      'kernel ms a second',
      'ms a second',
      'waits a second',
    ],
    rows,
  };
};
