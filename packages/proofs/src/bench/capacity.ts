/**
 * `npm run capacity`: resource use of a daemon by the number of workers,
 * upstreams, configuration changes and task starts that it handles. An argument
 * selects the tables whose name contains it.
 */
import {
  asId,
  type UpstreamId,
  type WorkerId,
  type ZoneId,
  type ServiceName,
} from '@primrosewick/state';
import type {WorkerOrders} from '@primrosewick/protocol';
import {Cell, WorkerCore, freePorts} from '@primrosewick/standins';
import {callJson, sleep} from '@primrosewick/transport';
import {plainProfile} from '../world/profiles.js';
import {measureUsage, type Usage} from './proc.js';
import {formatTable, round, type Table} from './report.js';

const MEASURE_MS = 8000;
const SETTLE_MS = 4000;
const ANNOUNCE_MS = 1000;
/**
 * Time after which the JIT has compiled the daemons' code and the cell is idle,
 * in ms.
 */
const WARM_UP_MS = 15_000;
const START_TIMEOUT_MS = 40_000;
const ZONE = asId<ZoneId>('a');

/** Announces many upstreams or workers from this process. */
class Announcers {
  private isStopped = false;
  bytes = 0;

  constructor(private readonly entries: readonly string[]) {}

  addWorkers(count: number): void {
    for (let i = 0; i < count; i++) void this.runWorker(i);
  }

  addUpstreams(count: number): void {
    for (let i = 0; i < count; i++) void this.runUpstream(i);
  }

  stop(): void {
    this.isStopped = true;
  }

  private async runWorker(i: number): Promise<void> {
    const size = {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0};
    const core = new WorkerCore({
      worker: asId<WorkerId>(`w${i}`),
      zone: ZONE,
      rack: `r${i % 10}`,
      address: `127.0.0.1:${1000 + i}`,
      size,
    });
    await this.announceRepeatedly(i, async entry => {
      const report = core.announce(performance.now());
      core.onAnnouncementReply(
        report.seq,
        await this.post<WorkerOrders>(entry, '/v1/workers', report),
        performance.now(),
      );
    });
  }

  private async runUpstream(i: number): Promise<void> {
    let seq = 0;
    await this.announceRepeatedly(i, async entry => {
      seq++;
      const report = {
        upstream: asId<UpstreamId>(`u${i}`),
        service: asId<ServiceName>('booking-desk'),
        zone: ZONE,
        address: `127.0.0.1:${30_000 + i}`,
        slots: 8,
        connections: 60,
        state: 'serving',
        seq,
        inFlight: [],
      };
      await this.post(entry, '/v1/upstreams', report);
    });
  }

  private async announceRepeatedly(
    i: number,
    announce: (entry: string) => Promise<void>,
  ): Promise<void> {
    await sleep((i * 37) % ANNOUNCE_MS);
    while (!this.isStopped) {
      await announce(this.entries[i % this.entries.length]!).catch(
        () => undefined,
      );
      await sleep(ANNOUNCE_MS);
    }
  }

  private post<T>(address: string, path: string, body: unknown): Promise<T> {
    this.bytes += JSON.stringify(body).length;
    return callJson<T>({address, method: 'POST', path, body, timeoutMs: 2000});
  }
}

const startOneZoneCell = async (): Promise<Cell> => {
  const vms = ['a1', 'a2', 'a3'].map(vm => ({
    vm,
    zone: 'a',
    disk: vm === 'a1',
  }));
  const cell = await Cell.create({cell: 'capacity', vms});
  for (const {vm} of vms) cell.startDaemon(vm);
  for (const {vm} of vms) await cell.waitUntilReady(vm, START_TIMEOUT_MS);
  const file = cell.writeDocument('desk.jsonc', plainProfile('booking-desk'));
  await cell.runOperatorCommand('a1', ['profile', 'put', file]);
  await cell.runOperatorCommand('a1', [
    'service',
    'put',
    'booking-desk',
    '--profile',
    'booking-desk',
  ]);
  await sleep(SETTLE_MS);
  return cell;
};

const findZoneLeader = async (cell: Cell): Promise<string> => {
  const {stdout} = await cell.runOperatorCommand('a1', ['status', '--json']);
  const {vms} = JSON.parse(stdout) as {
    vms: Array<{vm: string; zoneLeader: {vm: string | null}}>;
  };
  return vms[0]?.zoneLeader.vm ?? 'a1';
};

const usageRow = (
  name: string,
  count: number,
  role: string,
  usage: Usage,
): Array<string | number> => [
  name,
  count,
  role,
  round(usage.cpuPercent, 2),
  round(usage.memoryMb),
  Math.round(usage.inZoneBytesPerSecond),
  Math.round(usage.crossZoneBytesPerSecond),
];

const COLUMNS = [
  'what',
  'count',
  'role',
  'CPU, % of a core',
  'memory MiB',
  'in-zone B/s',
  'cross-zone B/s',
];

/**
 * Measures the leader and another VM of a zone at each count, which shows the
 * cost per item.
 */
const measureZone = async (
  what: 'workers' | 'upstreams',
  counts: readonly number[],
): Promise<Table> => {
  const rows: Array<Array<string | number>> = [];
  for (const count of counts) {
    const cell = await startOneZoneCell();
    const announcers = new Announcers(cell.vms.map(({platform}) => platform));
    if (what === 'workers') announcers.addWorkers(count);
    else announcers.addUpstreams(count);
    await sleep(SETTLE_MS);
    const leader = await findZoneLeader(cell);
    const otherVm =
      ['a1', 'a2', 'a3'].find(vm => vm !== leader && vm !== 'a1') ?? 'a2';
    const [leaderUsage, otherUsage] = await Promise.all([
      measureUsage(cell, leader, MEASURE_MS),
      measureUsage(cell, otherVm, MEASURE_MS),
    ]);
    rows.push(
      usageRow(what, count, 'zone leader', leaderUsage),
      usageRow(what, count, 'other VM', otherUsage),
    );
    announcers.stop();
    await cell.destroy();
  }
  return {
    heading: `One zone of three VMs by its ${what}, each announced once a second`,
    columns: COLUMNS,
    rows,
  };
};

const SEVEN_VMS = [
  {vm: 'a1', zone: 'a', disk: true},
  {vm: 'a2', zone: 'a', disk: false},
  {vm: 'a3', zone: 'a', disk: false},
  {vm: 'b1', zone: 'b', disk: true},
  {vm: 'b2', zone: 'b', disk: false},
  {vm: 'c1', zone: 'c', disk: true},
  {vm: 'c2', zone: 'c', disk: false},
];

const CHANGE_COUNT = 40;

/**
 * Measures seven VMs in three zones: idle, then during changes of a profile.
 */
const measureSevenVms = async (): Promise<Table> => {
  const cell = await Cell.create({cell: 'capacity', vms: SEVEN_VMS});
  for (const {vm} of SEVEN_VMS) cell.startDaemon(vm);
  for (const {vm} of SEVEN_VMS) await cell.waitUntilReady(vm, START_TIMEOUT_MS);
  await sleep(WARM_UP_MS);
  const rows: Array<Array<string | number>> = [];
  const idleUsages = await Promise.all(
    SEVEN_VMS.map(({vm}) => measureUsage(cell, vm, MEASURE_MS)),
  );
  idleUsages.forEach((usage, i) =>
    rows.push(
      usageRow(
        'idle',
        0,
        `${SEVEN_VMS[i]!.vm}${SEVEN_VMS[i]!.disk ? ', voter' : ''}`,
        usage,
      ),
    ),
  );
  const measuring = Promise.all(
    SEVEN_VMS.map(({vm}) => measureUsage(cell, vm, MEASURE_MS)),
  );
  for (let base = 0; base < CHANGE_COUNT; base++) await putRevision(cell, base);
  const changingUsages = await measuring;
  changingUsages.forEach((usage, i) =>
    rows.push(
      usageRow(
        `${CHANGE_COUNT} changes`,
        CHANGE_COUNT,
        `${SEVEN_VMS[i]!.vm}${SEVEN_VMS[i]!.disk ? ', voter' : ''}`,
        usage,
      ),
    ),
  );
  await cell.destroy();
  return {
    heading: `Seven VMs in three zones: idle, and with ${CHANGE_COUNT} changes of a profile within ${MEASURE_MS / 1000} s`,
    columns: COLUMNS,
    rows,
  };
};

const putRevision = async (cell: Cell, baseRevision: number): Promise<void> => {
  const {operator} = cell.getVm('a2');
  const profile = plainProfile('changing');
  const write = {
    author: 'capacity',
    requestId: `c${baseRevision}`,
    firstSentAt: Date.now(),
  };
  const headers = {authorization: `Bearer ${cell.token}`};
  const body = {write, baseRevision, profile};
  await callJson({
    address: operator,
    method: 'PUT',
    path: '/v1/profiles/changing',
    headers,
    body,
    timeoutMs: 8000,
  });
};

const TASK_COUNT = 600;

/** Measures the cost of task starts with running stand-in workers. */
const measureStarts = async (): Promise<Table> => {
  const cell = await startOneZoneCell();
  const ports = await freePorts(6);
  ports.forEach((port, i) =>
    cell.startStandin(`w${i}`, 'worker', {
      zone: 'a',
      entries: cell.platformAddressesOf('a'),
      address: `127.0.0.1:${port}`,
      rack: `r${i}`,
    }),
  );
  await sleep(SETTLE_MS + 3000);
  const leader = await findZoneLeader(cell);
  const idle = await measureUsage(cell, leader, SETTLE_MS);
  const job = cell.writeDocument('job.jsonc', {
    team: 't',
    profile: 'booking-desk',
    taskCount: TASK_COUNT,
    size: {cpuMillis: 100, memoryMb: 10},
    command: 'run',
    runMs: 200,
  });
  const measuring = measureUsage(cell, leader, MEASURE_MS);
  const startedAt = performance.now();
  await cell.runOperatorCommand('a1', ['job', 'submit', job, '--wait']);
  const tookMs = performance.now() - startedAt;
  const busy = await measuring;
  await cell.destroy();
  const cpuMs = ((busy.cpuPercent - idle.cpuPercent) / 100) * MEASURE_MS;
  return {
    heading: `Starts of ${TASK_COUNT} tasks on 6 workers, each start recorded in the log before`,
    columns: [
      'tasks',
      'time until all had ended, ms',
      "leader's processor time for a start, ms",
    ],
    rows: [[TASK_COUNT, Math.round(tookMs), round(cpuMs / TASK_COUNT, 2)]],
  };
};

const TABLES: ReadonlyArray<readonly [string, () => Promise<Table>]> = [
  ['seven', measureSevenVms],
  ['workers', () => measureZone('workers', [0, 70, 140, 280])],
  ['upstreams', () => measureZone('upstreams', [0, 70, 140, 280])],
  ['starts', measureStarts],
];

const nameFilter = process.argv[2] ?? '';
for (const [name, measure] of TABLES) {
  if (name.includes(nameFilter))
    process.stdout.write(`${formatTable(await measure())}\n`);
}
process.exit(0);
