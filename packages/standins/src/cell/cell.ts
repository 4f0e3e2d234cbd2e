/** Settings and processes of a small cell on loopback, for the demo and the proofs. */
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

/** Which VMs a cell has. */
export interface CellPlan {
  readonly cell: string;
  readonly vms: ReadonlyArray<{
    readonly vm: string;
    readonly zone: string;
    readonly disk: boolean;
  }>;
  /** Further settings of each daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** Result of a command that has ended. */
export interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const PACKAGES = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../..',
);
/** Script of the daemon. */
export const DAEMON_SCRIPT = path.join(PACKAGES, 'daemon/dist/main.js');
const CLI = path.join(PACKAGES, 'cli/dist/main.js');
const STANDINS = path.join(PACKAGES, 'standins/dist');
const POLL_MS = 50;

/** A small cell whose processes this process has started. */
export class Cell {
  private readonly children = new Map<string, ChildProcess>();

  private constructor(
    readonly root: string,
    readonly plan: CellPlan,
    readonly vms: readonly CellVm[],
  ) {}

  /** Writes the settings of a cell into a new folder. */
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

  /** File of the operators' token. */
  get tokenFile(): string {
    return path.join(this.root, 'token');
  }

  /** The operators' token. */
  get token(): string {
    return readFileSync(this.tokenFile, 'utf8');
  }

  /** Settings file of a VM. */
  settingsFile(vm: string): string {
    return path.join(this.root, `${vm}.jsonc`);
  }

  /** Data folder of a VM. */
  dataFolder(vm: string): string {
    return path.join(this.root, `data-${vm}`);
  }

  /** @returns a VM by its name. */
  getVm(name: string): CellVm {
    const vm = this.vms.find(other => other.vm === name);
    if (!vm) throw new Error(`no VM "${name}"`);
    return vm;
  }

  /** Platform addresses of a zone. */
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

  /** Starts a second daemon with the settings of a VM; @returns its exit code. */
  startSecondDaemon(vm: string): Promise<number | null> {
    const args = ['--settings', this.settingsFile(vm)];
    return runNode(DAEMON_SCRIPT, args).then(({code}) => code);
  }

  /** Starts a stand-in by the name of its folder. */
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

  /** Runs the operators' command line at an entry. */
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

  /** Runs the operators' command line without an entry. */
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

  /** Writes a document for the command line. */
  writeDocument(name: string, document: unknown): string {
    const file = path.join(this.root, name);
    writeFileSync(file, JSON.stringify(document, null, 2));
    return file;
  }

  /** Waits until a VM says that it is ready. */
  async waitUntilReady(vm: string, timeoutMs: number): Promise<boolean> {
    return waitUntil(
      timeoutMs,
      async () =>
        (await getHttpStatus(this.getVm(vm).operator, '/readyz')) === 200,
    );
  }

  /** Sends a signal to a process, and waits for its end unless it only pauses it. */
  async signal(name: string, signal: NodeJS.Signals): Promise<number | null> {
    const child = this.children.get(name);
    if (!child) throw new Error(`no process "${name}"`);
    child.kill(signal);
    if (signal === 'SIGSTOP' || signal === 'SIGCONT') return null;
    return exitOf(child);
  }

  /** Id of a process. */
  pidOf(name: string): number {
    return this.children.get(name)?.pid ?? 0;
  }

  /** Deletes the data folder of a VM. */
  deleteData(vm: string): void {
    rmSync(this.dataFolder(vm), {recursive: true, force: true});
  }

  /** Ends all processes and deletes the folder. */
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
    return `// Settings of ${vm.vm}, written for a trial on loopback.\n${JSON.stringify(settings, null, 2)}\n`;
  }
}

/** Waits until a condition holds. */
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

/** @returns the HTTP status of a path, or 0 when the address cannot be reached. */
export const getHttpStatus = async (
  address: string,
  requestPath: string,
): Promise<number> => {
  try {
    const answer = await callHttp({
      address,
      method: 'GET',
      path: requestPath,
      timeoutMs: 3000,
      maxResponseBytes: 1 << 22,
    });
    return answer.status;
  } catch {
    return 0;
  }
};

/** Ports below those that the system gives to outgoing connections, which could take one meanwhile. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

/** Finds ports that are free at present. */
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

/** @returns a server at the port, or undefined where the port is taken. */
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
