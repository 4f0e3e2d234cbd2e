/**
 * A small deployment on loopback addresses: three voters and some entries, each
 * a process with the command of its role in deploy/system.toml. Needs nothing
 * but Node.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {call, pause} from './http.mjs';

/** Root of the repository, where the platform starts the programs. */
export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const PORTS = {front: 8161, ready: 8167, control: 8166, minion: 8080};
const ZONES = {'krakow-store': 'malopolska', 'nowy-targ': 'malopolska', 'tarnow-store': 'malopolska'};
export const HOST = 'nony24.example';
export const SERVICE = 'huvo11a';

/** Bounds of the Association's deployment, as SYSTEM.md gives them. */
export const BOUNDS = {
  seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4,
  drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000,
  rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, maxHoldMs: 10000,
  stopMs: 400, gangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000,
  early_ms: 250, finish_s: 14, status_s: 120, spreadFactor: 2,
  checkpointS: 0.5, restoreMs: 600, noticeMs: 4500, migrateS: 1.5,
  maintenanceS: 2, fencing: false, leaseMs: 3000, thawMs: 300, paceMs: 100,
  impactMs: 4000,
};

/** Commands of the roles in deploy/system.toml, as lists of words. */
const commands = () => {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const words = {};
  let role = '';
  for (const line of text.split('\n')) {
    role = /^\[roles\.(\w+)\]/.exec(line)?.[1] ?? role;
    const run = /^run = "(.*)"/.exec(line)?.[1];
    if (run) words[role] = run.split(' ');
  }
  return words;
};

export class Cell {
  /** @param recordFile - file that gets what was sent, answered and run. */
  constructor({recordFile, entries = 3}) {
    this.recordFile = recordFile;
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    this.root = mkdtempSync(path.join(tmpdir(), 'cell-'));
    this.startedAt = Date.now();
    this.commands = commands();
    this.children = new Map();
    this.all = new Set();
    const zones = Object.keys(ZONES);
    const vms = (role, first, count) =>
      Array.from({length: count}, (_, i) => ({
        name: `${role}-${i + 1}`,
        role,
        zone: zones[i % zones.length],
        ip: `${this.net}.${first + i}`,
      }));
    this.voters = vms('voter', 1, 3);
    this.entries = vms('entry', 11, entries);
    this.wipes = new Map();
    writeFileSync(recordFile, '');
    for (const signal of ['SIGTERM', 'SIGINT'])
      process.on(signal, () => void this.destroy().then(() => process.exit(2)));
  }

  get vms() {
    return [...this.voters, ...this.entries];
  }

  get controls() {
    return this.voters.map(({ip}) => `${ip}:${PORTS.control}`);
  }

  get fronts() {
    return this.entries.map(({ip}) => `${ip}:${PORTS.front}`);
  }

  minionAddress(i) {
    return `${this.net}.${100 + i}:${PORTS.minion}`;
  }

  record(text) {
    const s = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${s.padStart(8)} s  ${text}\n`);
  }

  /** Starts all processes for the first time, with empty disks. */
  start() {
    for (const vm of this.vms) this.startVm(vm, true);
  }

  startVm(vm, bootstrap = false) {
    const log = openSync(path.join(this.root, `${vm.name}.log`), 'a');
    const [program, ...args] = this.commands[vm.role];
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        PRIMROSEWICK_BOOT: this.writeSettings(vm, bootstrap),
      },
      stdio: ['ignore', log, log],
    });
    this.children.set(vm.name, child);
    this.all.add(child);
    child.on('exit', (code, signal) => {
      this.record(`process of ${vm.name} ended: code ${code}, signal ${signal}`);
      vm.onExit?.(code, signal);
    });
    this.record(`process of ${vm.name} started, bootstrap ${bootstrap}`);
  }

  isRunning({name}) {
    const child = this.children.get(name);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  signal(vm, signal) {
    this.record(`${signal} to ${vm.name}`);
    this.children.get(vm.name)?.kill(signal);
  }

  async kill(vm) {
    const child = this.children.get(vm.name);
    const gone = once(child, 'exit');
    this.signal(vm, 'SIGKILL');
    await gone;
  }

  /** The disk of a machine is lost: it comes back with an empty folder. */
  wipe(vm) {
    rmSync(this.dataDir(vm), {recursive: true, force: true});
    this.wipes.set(vm.name, (this.wipes.get(vm.name) ?? 0) + 1);
    this.record(`the disk of ${vm.name} is lost`);
  }

  dataDir(vm) {
    return path.join(this.root, `data-${vm.name}`);
  }

  logText(vm) {
    return readFileSync(path.join(this.root, `${vm.name}.log`), 'utf8');
  }

  /** The voter that has last logged that it leads. */
  leader() {
    const latest = vm => {
      const line = this.logText(vm).split('\n').findLast(text => text.includes('"lead_began"'));
      return /"time":"([^"]+)"/.exec(line ?? '')?.[1] ?? '';
    };
    return [...this.voters].sort((a, b) => latest(b).localeCompare(latest(a)))[0];
  }

  writeSettings(vm, bootstrap) {
    const isVoter = vm.role === 'voter';
    const dataDir = isVoter ? this.dataDir(vm) : null;
    if (isVoter) mkdirSync(dataDir, {recursive: true});
    const file = path.join(this.root, `${vm.name}.json`);
    const {ip} = vm;
    const settings = {
      nodeName: vm.name,
      role: vm.role,
      machineClass: isVoter ? 'core' : 'front',
      serves: [isVoter ? 'control' : 'front'],
      ip,
      zone: vm.zone,
      region: 'malopolska',
      zones: ZONES,
      listen: isVoter
        ? {control: `${ip}:${PORTS.control}`}
        : {front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}`},
      portRange: [7720, 7735],
      seeds: this.controls,
      bootstrap,
      inTolerance: isVoter,
      limits: isVoter
        ? {cpuShare: 0.675, cores: 2, memoryMb: 346, maxFds: 4096, linkMbps: 1000, diskMb: 128}
        : {cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0},
      dataDir,
      discovery: 'registry',
      entry: 'vip',
      heartbeatMs: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched'],
      faultTolerance: {machines: 1, zones: 1, regionCount: 0},
      bounds: BOUNDS,
      config_mode: 'highest',
      orders: 'call',
    };
    writeFileSync(file, JSON.stringify(settings));
    return file;
  }

  /** Waits until all entries are ready. */
  async untilReady(timeoutMs = 25_000) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const replies = await Promise.all(
        this.entries.map(({ip}) =>
          call({address: `${ip}:${PORTS.ready}`, path: '/-/readyz', timeoutMs: 500}),
        ),
      );
      if (replies.every(({status}) => status === 200)) return true;
      await pause(200);
    }
    return false;
  }

  /** Ends all processes that were started here, and deletes the files. */
  async destroy() {
    const running = [...this.all].filter(child => child.exitCode === null && child.signalCode === null);
    const gone = running.map(child => once(child, 'exit'));
    for (const child of running) child.kill('SIGKILL');
    await Promise.all(gone);
    if (process.env.KEEP) console.error(this.root);
    else rmSync(this.root, {recursive: true, force: true});
  }
}
