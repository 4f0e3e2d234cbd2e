/**
 * A cell of bundled daemons on loopback, with settings from the platform
 * adapter's templates.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {waitUntil} from '@primrosewick/standins';
import {callHttp} from '@primrosewick/transport';

/** Role of a VM in the idle cell. */
export type IdleRole = 'entry' | 'follower' | 'leader';

/** CPU use of a process since its start. */
export interface ProcessUsage {
  readonly userMs: number;
  readonly kernelMs: number;
  /**
   * Voluntary context switches of the main thread, that is how often it
   * blocked.
   */
  readonly voluntarySwitches: number;
}

interface IdleVm {
  readonly name: string;
  readonly host: string;
  readonly zone: string;
  readonly hasDisk: boolean;
}

const REPOSITORY = fileURLToPath(new URL('../../../../', import.meta.url));
const TEMPLATES = path.join(REPOSITORY, 'platform/bench');
const DEPLOY_FILE = path.join(REPOSITORY, 'deploy/system.toml');
const VOTERS = 6;
const ZONES = 3;
const CONTROL_PORT = 8166;
const CLIENT_PORT = 8161;
const READY_PORT = 8167;
const READY_WITHIN_MS = 30_000;
const TICK_MS = 10;

/** The daemon processes of one cell. */
export class IdleCell {
  private readonly children = new Map<string, ChildProcess>();

  private constructor(
    private readonly folder: string,
    private readonly vms: readonly IdleVm[],
  ) {}

  /**
   * Starts a cell and waits until its entry is ready.
   * @throws Error if the configuration is rejected, or if the entry does not
   *     become ready.
   */
  static async start(bundle: string): Promise<IdleCell> {
    // The daemon's ports are fixed, so each process uses a loopback subnet of
    // its own.
    const [a, b] = [process.pid >> 8, process.pid & 0xff].map(n => n % 250);
    const vms = Array.from({length: VOTERS + 1}, (_none, i) => ({
      name: i === VOTERS ? 'entry' : `voter-${i}`,
      host: `127.${a! + 1}.${b! + 1}.${i + 1}`,
      zone: `zone-${i % ZONES}`,
      hasDisk: i < VOTERS,
    }));
    const folder = mkdtempSync(path.join(tmpdir(), 'primrosewick-idle-'));
    const cell = new IdleCell(folder, vms);
    try {
      for (const vm of vms) cell.spawn(vm, bundle);
      await cell.putConfig();
      await cell.waitReady();
    } catch (err) {
      await cell.stop();
      throw err;
    }
    return cell;
  }

  /** Reads the CPU use of one VM for each of the given roles. */
  async readUsages(roles: readonly IdleRole[]): Promise<ProcessUsage[]> {
    const leader = await this.findLeader();
    const vmOf: Record<IdleRole, IdleVm> = {
      entry: this.vms.at(-1)!,
      leader,
      follower: this.vms.find(vm => vm !== leader)!,
    };
    return roles.map(role => readUsage(this.pidOf(vmOf[role].name)));
  }

  /** Kills all processes and removes the cell's temporary folder. */
  async stop(): Promise<void> {
    const exits = [...this.children.values()].map(
      child => new Promise(resolve => child.once('exit', resolve)),
    );
    for (const child of this.children.values()) child.kill('SIGKILL');
    await Promise.all(exits);
    rmSync(this.folder, {recursive: true, force: true});
  }

  private spawn(vm: IdleVm, bundle: string): void {
    const settingsFile = path.join(this.folder, `${vm.name}.json`);
    writeFileSync(settingsFile, this.makeSettings(vm));
    const [program, ...args] = readRoleCommand(vm.hasDisk ? 'voter' : 'entry');
    const child = spawn(program!, [...args.slice(0, -1), bundle], {
      cwd: REPOSITORY,
      env: {PATH: process.env['PATH'], PRIMROSEWICK_BOOT: settingsFile},
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    this.children.set(vm.name, child);
  }

  private makeSettings({name, host, zone, hasDisk}: IdleVm): string {
    const dataFolder = path.join(this.folder, name);
    if (hasDisk) mkdirSync(dataFolder);
    const seeds = this.vms.slice(0, ZONES).map(vm => controlAddressOf(vm));
    const listen = hasDisk
      ? {control: `${host}:${CONTROL_PORT}`}
      : {front: `${host}:${CLIENT_PORT}`, ready: `${host}:${READY_PORT}`};
    return fillTemplate(readTemplate('settings.json'), {
      name,
      host,
      zone,
      role: hasDisk ? 'voter' : 'entry',
      listen: JSON.stringify(listen),
      seeds: JSON.stringify(seeds),
      dataFolder: JSON.stringify(hasDisk ? dataFolder : null),
    });
  }

  private async putConfig(): Promise<void> {
    const body = readTemplate('config.json');
    const isAccepted = await waitUntil(READY_WITHIN_MS, () =>
      requestSucceeds(controlAddressOf(this.vms[0]!), 'POST', '/-/config/put', {
        body,
      }),
    );
    if (!isAccepted)
      throw new Error('the cell did not accept the configuration');
  }

  private async waitReady(): Promise<void> {
    const {host} = this.vms.at(-1)!;
    const isReady = await waitUntil(READY_WITHIN_MS, () =>
      requestSucceeds(`${host}:${READY_PORT}`, 'GET', '/-/readyz'),
    );
    if (!isReady) throw new Error('the entry did not become ready');
  }

  private async findLeader(): Promise<IdleVm> {
    const counts = await Promise.all(
      this.vms.map(async vm => ({
        vm,
        leaderships: await countCurrentLeaderships(vm),
      })),
    );
    const leader = counts.find(({leaderships}) => leaderships > 0);
    if (!leader) throw new Error('no VM reports that it is the leader');
    return leader.vm;
  }

  private pidOf(name: string): number {
    const pid = this.children.get(name)?.pid;
    if (pid === undefined) throw new Error(`${name} is not running`);
    return pid;
  }
}

const controlAddressOf = ({host}: IdleVm): string => `${host}:${CONTROL_PORT}`;

const readTemplate = (name: string): string =>
  readFileSync(path.join(TEMPLATES, name), 'utf8');

const fillTemplate = (
  text: string,
  values: Readonly<Record<string, string>>,
): string =>
  text.replace(/\{\{(\w+)\}\}/g, (_all, name: string) => values[name] ?? '');

/** Command line of a role in the deploy file, split into words. */
const readRoleCommand = (role: 'entry' | 'voter'): string[] => {
  const [, section = ''] = readFileSync(DEPLOY_FILE, 'utf8').split(
    `[roles.${role}]`,
  );
  return /run = "([^"]+)"/.exec(section)![1]!.split(' ');
};

const requestSucceeds = async (
  address: string,
  method: 'GET' | 'POST',
  route: string,
  {body}: {readonly body?: string} = {},
): Promise<boolean> => {
  const response = await callHttp({
    address,
    method,
    path: route,
    headers: {'content-type': 'application/json'},
    ...(body === undefined ? {} : {body: Buffer.from(body)}),
    timeoutMs: 1500,
    maxResponseBytes: 1 << 20,
  }).catch(() => undefined);
  return response?.status === 200;
};

const countCurrentLeaderships = async ({host}: IdleVm): Promise<number> => {
  const {body} = await callHttp({
    address: `${host}:9464`,
    method: 'GET',
    path: '/metrics',
    timeoutMs: 2000,
    maxResponseBytes: 1 << 22,
  });
  const count = (change: string): number =>
    Number(
      new RegExp(`change="${change}"\\} (\\d+)`).exec(
        body.toString('utf8'),
      )?.[1] ?? 0,
    );
  return count('lead_began') - count('lead_ended');
};

const readUsage = (pid: number): ProcessUsage => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .split(') ')[1]!
    .split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const voluntarySwitches = /^voluntary_ctxt_switches:\s+(\d+)/m.exec(
    status,
  )?.[1];
  return {
    userMs: Number(fields[11]) * TICK_MS,
    kernelMs: Number(fields[12]) * TICK_MS,
    voluntarySwitches: Number(voluntarySwitches ?? 0),
  };
};
