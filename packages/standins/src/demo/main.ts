/**
 * Demo of the main use end to end, as separate processes on loopback: three
 * zones, seven daemons, upstreams and workers. Exits with 1 when an
 * expectation fails. `--stop SIGKILL` makes the expectation of a graceful
 * stop fail; `--keep` followed by any value skips the cleanup of the cell.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {callJson} from '@primrosewick/transport';
import {readArgs} from '../utils/args.js';
import {Cell, freePorts, waitUntil, type CommandResult} from '../cell/cell.js';
import {DEPOSIT_JOB, DEPOSIT_PROFILE, DESK_PROFILE} from './documents.js';

const START_MS = 25_000;
const args = readArgs(process.argv.slice(2));
const stopSignal = (args.get('stop') ?? 'SIGTERM') as NodeJS.Signals;
const failures: string[] = [];

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const expect = (what: string, holds: boolean, detail = ''): void => {
  print(
    `${holds ? 'ok    ' : 'FAILED'} ${what}${holds || !detail ? '' : `: ${detail.trim()}`}`,
  );
  if (!holds) failures.push(what);
};

const expectDone = (what: string, result: CommandResult): void =>
  expect(what, result.code === 0, result.stderr || result.stdout);

const ZONES = ['krakow', 'nowy-targ', 'tarnow'];

const cell = await Cell.create({
  cell: 'malopolska',
  vms: [
    {vm: 'krk-1', zone: 'krakow', disk: true},
    {vm: 'krk-2', zone: 'krakow', disk: false},
    {vm: 'krk-3', zone: 'krakow', disk: false},
    {vm: 'nt-1', zone: 'nowy-targ', disk: true},
    {vm: 'nt-2', zone: 'nowy-targ', disk: false},
    {vm: 'tar-1', zone: 'tarnow', disk: true},
    {vm: 'tar-2', zone: 'tarnow', disk: false},
  ],
});

interface StatusView {
  readonly vms: ReadonlyArray<{
    readonly vm: string;
    readonly zone?: string;
    readonly zoneLeader?: {readonly vm: string | null};
    readonly appliedIndex?: number;
    readonly upstreams?: readonly unknown[];
    readonly workers?: ReadonlyArray<{readonly state: string}>;
  }>;
}

const status = async (): Promise<StatusView> => {
  const {code, stdout} = await cell.runOperatorCommand('tar-2', [
    'status',
    '--json',
  ]);
  return code === 0 ? (JSON.parse(stdout) as StatusView) : {vms: []};
};

const startDaemons = async (): Promise<void> => {
  for (const {vm} of cell.vms) cell.startDaemon(vm);
  const ready = await Promise.all(
    cell.vms.map(({vm}) => cell.waitUntilReady(vm, START_MS)),
  );
  expect('all 7 daemons are ready', ready.every(Boolean));
};

const standinAddresses: string[] = [];

const startStandins = async (): Promise<void> => {
  const ports = await freePorts(ZONES.length * 4);
  ZONES.forEach((zone, z) => {
    for (let i = 0; i < 2; i++) {
      const entries = cell.platformAddressesOf(zone);
      const upstreamAddress = `127.0.0.1:${ports[4 * z + i]}`;
      const workerAddress = `127.0.0.1:${ports[4 * z + 2 + i]}`;
      cell.startStandin(`desk-${zone}-${i}`, 'upstream', {
        zone,
        entries,
        address: upstreamAddress,
        service: 'booking-desk',
      });
      cell.startStandin(`worker-${zone}-${i}`, 'worker', {
        zone,
        entries,
        address: workerAddress,
        rack: `rack-${i}`,
      });
      standinAddresses.push(upstreamAddress, workerAddress);
    }
  });
  const haveAnnounced = await waitUntil(START_MS, async () => {
    const {vms} = await status();
    const upstreams = vms.reduce(
      (sum, vm) => sum + (vm.upstreams?.length ?? 0),
      0,
    );
    const workers = vms.reduce((sum, vm) => sum + (vm.workers?.length ?? 0), 0);
    return upstreams === 6 && workers === 6;
  });
  expect('6 upstreams and 6 workers have announced themselves', haveAnnounced);
};

const configure = async (): Promise<void> => {
  const desk = cell.writeDocument('desk.jsonc', DESK_PROFILE);
  const deposits = cell.writeDocument('deposits.jsonc', DEPOSIT_PROFILE);
  expectDone(
    'an operator creates the profile booking-desk',
    await cell.runOperatorCommand('krk-1', ['profile', 'put', desk]),
  );
  expectDone(
    'an operator creates the profile deposit-run',
    await cell.runOperatorCommand('nt-2', ['profile', 'put', deposits]),
  );
  expectDone(
    'an operator creates the service booking-desk',
    await cell.runOperatorCommand('tar-2', [
      'service',
      'put',
      'booking-desk',
      '--profile',
      'booking-desk',
    ]),
  );
  const second = await cell.runOperatorCommand('tar-1', [
    'profile',
    'put',
    desk,
  ]);
  expect(
    'a second creation is refused as a conflict',
    second.code === 1 && second.stderr.includes('revision_conflict'),
    second.stderr,
  );
};

const checkEntries = async (): Promise<void> => {
  for (const {vm, client} of cell.vms) {
    const result = await cell.runClient({
      entries: client,
      service: 'booking-desk',
      count: '5',
      parallel: '1',
    });
    expect(
      `availability checks are answered through ${vm}`,
      result.code === 0,
      result.stdout + result.stderr,
    );
  }
};

let depositJob = '';

const runDeposits = async (): Promise<void> => {
  const job = cell.writeDocument('job.jsonc', DEPOSIT_JOB);
  const result = await cell.runOperatorCommand('nt-1', [
    'job',
    'submit',
    job,
    '--wait',
  ]);
  expectDone('a deposit run is placed, runs and ends', result);
  depositJob = /job-\d+/.exec(result.stdout)?.[0] ?? '';
  print(result.stdout.trim());
};

/** Finds the VM that leads a zone; stopping the leader exercises the largest handover. */
const leaderOf = async (zone: string): Promise<string> => {
  const {vms} = await status();
  return (
    vms.find(vm => vm.zone === zone && vm.zoneLeader?.vm === vm.vm)?.vm ?? ''
  );
};

const stopOneEntry = async (): Promise<void> => {
  const leader = await leaderOf('krakow');
  expect('krakow has a leader', leader !== '');
  const entries = cell.vms.map(({client}) => client).join(',');
  const load = cell.runClient({
    entries,
    service: 'booking-desk',
    count: '1500',
    parallel: '12',
    ms: '10',
  });
  await waitUntil(400, async () => false);
  const code = await cell.signal(leader, stopSignal);
  const result = await load;
  expect(
    `${leader}, which leads krakow, ends by itself after ${stopSignal}`,
    code === 0,
    `exit code ${code}`,
  );
  expect(
    `no request was lost while ${leader} stopped`,
    result.code === 0,
    result.stdout + result.stderr,
  );
  print(result.stdout.trim());
};

interface Stats {
  readonly overSlots?: number;
  readonly overSize?: number;
  readonly runs?: ReadonlyArray<{readonly task: string}>;
}

const checkStandins = async (): Promise<void> => {
  const stats = await Promise.all(
    standinAddresses.map(address =>
      callJson<Stats>({
        address,
        method: 'GET',
        path: '/stats',
        timeoutMs: 3000,
      }),
    ),
  );
  expect(
    'no upstream was ever given more than its slots',
    stats.every(({overSlots}) => !overSlots),
  );
  expect(
    'no worker was ever given more than its size',
    stats.every(({overSize}) => !overSize),
  );
  const tasks = stats.flatMap(({runs}) => runs?.map(run => run.task) ?? []);
  expect(
    'each of the 4 deposit tasks ran exactly once',
    tasks.length === 4 && new Set(tasks).size === 4,
    tasks.join(' '),
  );
};

const explainAndReplay = async (): Promise<void> => {
  const why = await cell.runOperatorCommand('tar-2', ['explain', depositJob]);
  expect(
    'explain tells why a deposit task went where it did',
    why.code === 0 && why.stdout.includes('starts on'),
    why.stderr,
  );
  print(why.stdout.split('\n').slice(0, 3).join('\n'));
  for (const core of ['requests', 'placement', 'shares']) {
    const {stdout} = await cell.runOperatorCommand('tar-2', [
      'journal',
      'nt-1',
      core,
    ]);
    const file = path.join(cell.root, `${core}.jsonl`);
    writeFileSync(file, stdout);
    const result = await cell.runCli(['replay', file]);
    expect(
      `a replay of ${core} reaches the same decisions`,
      result.code === 0,
      result.stdout + result.stderr,
    );
  }
};

const showStatus = async (): Promise<void> => {
  const {code, stdout} = await cell.runOperatorCommand('tar-2', ['status']);
  expect('status shows the cell', code === 0);
  print(`\n${stdout}`);
};

try {
  await startDaemons();
  await startStandins();
  await configure();
  await checkEntries();
  await runDeposits();
  await stopOneEntry();
  await checkStandins();
  await explainAndReplay();
  await showStatus();
} finally {
  if (args.has('keep')) print(`kept: ${cell.root}`);
  else await cell.destroy();
}
print(
  failures.length === 0
    ? 'The demo did all that was expected.'
    : `${failures.length} expectations failed.`,
);
process.exit(failures.length === 0 ? 0 : 1);
