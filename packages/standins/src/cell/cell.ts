/**
 * Settings and processes of a small cell on the loopback interface, for the
 * demo and the tests.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {randomBytes, randomInt} from 'node:crypto';
import {
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {callHttp, sleep} from '@primrosewick/transport';

/** One VM of the cell. */
export interface CellVm {
  readonly vm: string;
  readonly zone: string;
  readonly disk: boolean;
  readonly client: string;
  readonly platform: string;
  readonly operator: string;
  readonly peer: string;
}

/** Layout of a cell. */
export interface CellPlan {
  readonly cell: string;
  readonly vms: ReadonlyArray<{
    readonly vm: string;
    readonly zone: string;
    readonly disk: boolean;
  }>;
  /** Additional settings of every daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** Result of a finished command; `code` is null if a signal ended it. */
export interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const PACKAGES = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../..',
);
/** Path of the daemon's script. */
export const DAEMON_SCRIPT = path.join(PACKAGES, 'daemon/dist/main.js');
const CLI = path.join(PACKAGES, 'cli/dist/main.js');
const STANDINS = path.join(PACKAGES, 'standins/dist');
const POLL_MS = 50;

/** A small cell whose processes are children of this process. */
export class Cell {
  private readonly children = new Map<string, ChildProcess>();

  private constructor(
    readonly root: string,
    readonly plan: CellPlan,
    readonly vms: readonly CellVm[],
  ) {}

  /** Creates a temporary folder with the settings and token of a cell. */
  static async create(plan: CellPlan): Promise<Cell> {
    const root = mkdtempSync(path.join(tmpdir(), 'primrosewick-'));
    const ports = await freePorts(plan.vms.length * 4);
    const address = (i: number) => `127.0.0.1:${ports[i]}`;
    const vms = plan.vms.map((vm, i) => ({
      ...vm,
      client: address(4 * i),
      platform: address(4 * i + 1),
      operator: address(4 * i + 2),
      peer: address(4 * i + 3),
    }));
    const cell = new Cell(root, plan, vms);
    writeFileSync(cell.tokenFile, randomBytes(16).toString('hex'));
    for (const vm of vms)
      writeFileSync(cell.settingsFile(vm.vm), cell.settingsText(vm));
    return cell;
  }

  /** Path of the file with the operators' token. */
  get tokenFile(): string {
    return path.join(this.root, 'token');
  }

  /** The operators' token. */
  get token(): string {
    return readFileSync(this.tokenFile, 'utf8');
  }

  /** Path of a VM's settings file. */
  settingsFile(vm: string): string {
    return path.join(this.root, `${vm}.jsonc`);
  }

  /** Path of a VM's data folder. */
  dataFolder(vm: string): string {
    return path.join(this.root, `data-${vm}`);
  }

  /**
   * Looks up a VM by its name.
   * @throws Error when the cell has no such VM.
   */
  getVm(name: string): CellVm {
    const vm = this.vms.find(other => other.vm === name);
    if (!vm) throw new Error(`no VM "${name}"`);
    return vm;
  }

  /** Platform addresses of a zone's VMs, separated by commas. */
  platformAddressesOf(zone: string): string {
    return this.vms
      .filter(vm => vm.zone === zone)
      .map(vm => vm.platform)
      .join(',');
  }

  /** Starts the daemon of a VM. */
  startDaemon(vm: string): ChildProcess {
    return this.start(vm, DAEMON_SCRIPT, ['--settings', this.settingsFile(vm)]);
  }

  /**
   * Runs a second daemon with the settings of a VM until it exits.
   * @returns its exit code.
   */
  startSecondDaemon(vm: string): Promise<number | null> {
    const args = ['--settings', this.settingsFile(vm)];
    return runNode(DAEMON_SCRIPT, args).then(({code}) => code);
  }

  /** Starts a stand-in for an upstream or a worker. */
  startStandin(
    name: string,
    kind: 'upstream' | 'worker',
    args: Readonly<Record<string, string>>,
  ): ChildProcess {
    const pairs = Object.entries(args).flatMap(([key, value]) => [
      `--${key}`,
      value,
    ]);
    return this.start(name, path.join(STANDINS, kind, 'main.js'), [
      '--name',
      name,
      ...pairs,
    ]);
  }

  /** Runs a command of the operators' command line against the entry of a VM. */
  runOperatorCommand(
    vm: string,
    args: readonly string[],
  ): Promise<CommandResult> {
    const common = [
      '--entry',
      this.getVm(vm).operator,
      '--token-file',
      this.tokenFile,
      '--author',
      'demo',
    ];
    return this.runCli([...args, ...common]);
  }

  /** Runs a command of the operators' command line that needs no entry. */
  runCli(args: readonly string[]): Promise<CommandResult> {
    return runNode(CLI, args);
  }

  /** Runs the stand-in for clients. */
  runClient(args: Readonly<Record<string, string>>): Promise<CommandResult> {
    const pairs = Object.entries(args).flatMap(([key, value]) => [
      `--${key}`,
      value,
    ]);
    return runNode(path.join(STANDINS, 'client/main.js'), pairs);
  }

  /** Writes a document as JSON and returns its path. */
  writeDocument(name: string, document: unknown): string {
    const file = path.join(this.root, name);
    writeFileSync(file, JSON.stringify(document, null, 2));
    return file;
  }

  /** Waits until the readiness check of a VM succeeds; false on timeout. */
  async waitUntilReady(vm: string, timeoutMs: number): Promise<boolean> {
    return waitUntil(
      timeoutMs,
      async () =>
        (await getHttpStatus(this.getVm(vm).operator, '/readyz')) === 200,
    );
  }

  /**
   * Sends a signal to a process and waits for its exit, except for SIGSTOP and
   * SIGCONT.
   */
  async signal(name: string, signal: NodeJS.Signals): Promise<number | null> {
    const child = this.children.get(name);
    if (!child) throw new Error(`no process "${name}"`);
    child.kill(signal);
    if (signal === 'SIGSTOP' || signal === 'SIGCONT') return null;
    return exitOf(child);
  }

  /** Process id of a started process; 0 if there is none. */
  pidOf(name: string): number {
    return this.children.get(name)?.pid ?? 0;
  }

  /** Deletes the data folder of a VM. */
  deleteData(vm: string): void {
    rmSync(this.dataFolder(vm), {recursive: true, force: true});
  }

  /** Kills all processes and deletes the temporary folder. */
  async destroy(): Promise<void> {
    for (const child of this.children.values()) child.kill('SIGKILL');
    await Promise.all([...this.children.values()].map(exitOf));
    rmSync(this.root, {recursive: true, force: true});
  }

  private start(
    name: string,
    script: string,
    args: readonly string[],
  ): ChildProcess {
    const log = openSync(path.join(this.root, `${name}.log`), 'a');
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', log, log],
    });
    this.children.set(name, child);
    return child;
  }

  private settingsText(vm: CellVm): string {
    if (vm.disk) mkdirSync(this.dataFolder(vm.vm), {recursive: true});
    const {client, platform, operator, peer} = vm;
    const settings = {
      cell: this.plan.cell,
      vm: vm.vm,
      ...(vm.disk ? {dataFolder: this.dataFolder(vm.vm)} : {}),
      operatorTokenFile: this.tokenFile,
      listen: {client, platform, operator, peer},
      vms: this.vms.map(other => ({
        vm: other.vm,
        zone: other.zone,
        peer: other.peer,
        disk: other.disk,
      })),
      ...this.plan.settings,
    };
    return `// Settings of ${vm.vm}, generated for a test on loopback.\n${JSON.stringify(settings, null, 2)}\n`;
  }
}

/** Polls until a condition holds; false on timeout. */
export const waitUntil = async (
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<boolean> => {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return true;
    await sleep(POLL_MS);
  }
  return false;
};

/** Requests a path and returns its HTTP status, or 0 when the request fails. */
export const getHttpStatus = async (
  address: string,
  requestPath: string,
): Promise<number> => {
  try {
    const response = await callHttp({
      address,
      method: 'GET',
      path: requestPath,
      timeoutMs: 3000,
      maxResponseBytes: 1 << 22,
    });
    return response.status;
  } catch {
    return 0;
  }
};

/**
 * These ports lie below the ephemeral range, from which an outgoing connection
 * could take one in the meantime.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

/** Finds distinct ports that are currently free. */
export const freePorts = async (count: number): Promise<number[]> => {
  const servers = new Map<number, Server>();
  while (servers.size < count) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    if (servers.has(port)) continue;
    const server = await tryListen(port);
    if (server) servers.set(port, server);
  }
  await Promise.all([...servers.values()].map(closeServer));
  return [...servers.keys()];
};

/** Listens on a port; undefined if it is in use. */
const tryListen = (port: number): Promise<Server | undefined> =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });

const closeServer = (server: Server): Promise<unknown> =>
  new Promise(resolve => server.close(resolve));

const exitOf = (child: ChildProcess): Promise<number | null> =>
  new Promise(resolve => {
    if (child.exitCode !== null || child.signalCode !== null)
      resolve(child.exitCode);
    else child.once('exit', code => resolve(code));
  });

const runNode = (
  script: string,
  args: readonly string[],
): Promise<CommandResult> =>
  new Promise(resolve => {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', part => (stdout += String(part)));
    child.stderr.on('data', part => (stderr += String(part)));
    child.on('close', code => resolve({code, stdout, stderr}));
  });
