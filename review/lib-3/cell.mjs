/**
 * A small deployment on loopback: the project's program as the deploy file runs
 * it, one process a machine, beside stand-ins for minions, operator and clients.
 */
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from './http.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const MINION = fileURLToPath(new URL('minion.mjs', import.meta.url));
const PORTS = {front: 8161, ready: 8167, control: 8166, minion: 8080};
const PORT_RANGE = [7720, 7735];
const METRICS_PORT = 9464;
const ZONES = {
  'krakow-store': 'malopolska',
  'nowy-targ': 'malopolska',
  'tarnow-store': 'malopolska',
};
export const HOST = 'nony24.example';
export const PREFIX = '/lohu930/';
export const SERVICE = 'huvo11a';

/** The bounds of the site zwsl-sched, as its page gives them. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  recoveryS: 12,
  maxHoldMs: 10_000,
  stopMs: 400,
  gangWaitMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  spreadFactor: 2,
  checkpointS: 0.5,
  restoreMs: 600,
  noticeMs: 4500,
  migrateS: 1.5,
  maintenanceS: 2,
  fencing: false,
  leaseMs: 3000,
  thawMs: 300,
  paceMs: 100,
  impactMs: 4000,
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const newId = () => randomBytes(8).toString('hex');

/** Calls `check` until it returns something true; undefined if it never does. */
export const until = async (ms, check, pauseMs = 100) => {
  const end = performance.now() + ms;
  for (;;) {
    const found = await check();
    if (found || performance.now() > end) return found || undefined;
    await sleep(pauseMs);
  }
};

/** Thrown when a case cannot run. */
export class CannotRun extends Error {}

/** The commands of the deploy file, by role. */
const readCommands = () => {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const commandOf = role => {
    const [, section = ''] = text.split(`[roles.${role}]`);
    const [, run] = /^run = "([^"]+)"$/m.exec(section) ?? [];
    if (!run) throw new CannotRun(`no command for the role ${role}`);
    return run.split(' ');
  };
  return {entry: commandOf('entry'), voter: commandOf('voter')};
};

const isFree = (host, port) =>
  new Promise(resolve => {
    const probe = createServer();
    probe.on('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });

/** First three bytes of a loopback network on which nothing listens. */
const findNet = async () => {
  for (let i = 0; i < 50; i++) {
    const [a, b] = randomBytes(2);
    const net = `127.${64 + (a % 128)}.${b}`;
    const ports = [PORT_RANGE[0], METRICS_PORT, ...Object.values(PORTS)];
    const free = await Promise.all(ports.map(port => isFree(`${net}.1`, port)));
    if (free.every(Boolean)) return net;
  }
  throw new CannotRun('no free addresses');
};

export class Cell {
  machines = [];
  minions = [];
  /** Lines of the minions, in the order of their arrival. */
  events = [];
  isOver = false;

  /** @param folder - folder of the case, for its record. */
  constructor(folder) {
    this.recordFile = path.join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.root = mkdtempSync(path.join(tmpdir(), 'case-'));
    this.commands = readCommands();
    this.beganAt = Date.now();
  }

  /** Writes a line to the record. */
  record(text) {
    const at = ((Date.now() - this.beganAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${at} ${text}\n`);
  }

  /** Starts three voters and three entries, as at the first start of the system. */
  async launch({routes} = {}) {
    this.net = await findNet();
    const zones = Object.keys(ZONES);
    for (const kind of ['voter', 'entry'])
      zones.forEach((zone, i) =>
        this.machines.push({
          name: `${kind}-${zone}`,
          kind,
          zone,
          ip: `${this.net}.${(kind === 'voter' ? 1 : 11) + i}`,
          proc: null,
        }),
      );
    this.voters = this.machines.filter(({kind}) => kind === 'voter');
    this.entries = this.machines.filter(({kind}) => kind === 'entry');
    this.controls = this.controlsOf(this.voters);
    for (const machine of this.machines) {
      this.writeSettings(machine, true);
      this.startMachine(machine);
    }
    this.config = {
      version: 7,
      routes: routes ?? [this.route()],
      services: [
        {
          name: SERVICE,
          healthPath: '/healthz',
          maxConns: 64,
          protocol: 'h1',
          tls: false,
          admissionCheck: false,
          standby: false,
        },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 262_144,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
    };
  }

  /** Starts three voters, three entries and minions, and puts a configuration. */
  async start({minions, routes}) {
    await this.launch({routes});
    if (!(await until(20_000, () => this.putConfig(this.config))))
      throw new CannotRun('the configuration was not acknowledged');
    for (const machine of this.machines) this.writeSettings(machine, false);
    minions.forEach((minion, i) => this.startMinion(i, minion));
    const isReady = await until(
      20_000,
      async () =>
        this.count('registered') >= minions.length &&
        (await this.areEntriesReady()),
    );
    if (!isReady) throw new CannotRun('the deployment did not become ready');
    this.record('the deployment is ready');
  }

  /** Addresses of machines for minions and the operator. */
  controlsOf(machines) {
    return machines.map(({ip}) => `${ip}:${PORTS.control}`);
  }

  route(more = {}) {
    return {
      name: 'r-wrr6x73',
      host: HOST,
      prefix: PREFIX,
      kind: 'non_idempotent',
      timeoutMs: 3000,
      sloMs: 1000,
      priority: 1,
      service: SERVICE,
      attempts: 4,
      stretch: 2.2,
      ...more,
    };
  }

  writeSettings({name, kind, zone, ip}, isFirst) {
    const isVoter = kind === 'voter';
    const dataDir = path.join(this.root, `data-${name}`);
    if (isVoter) mkdirSync(dataDir, {recursive: true});
    const settings = {
      nodeName: name,
      role: kind,
      machineClass: isVoter ? 'core' : 'front',
      serves: [isVoter ? 'control' : 'front'],
      ip,
      zone,
      region: ZONES[zone],
      zones: ZONES,
      listen: isVoter
        ? {control: `${ip}:${PORTS.control}`}
        : {front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}`},
      portRange: PORT_RANGE,
      seeds: this.controls,
      bootstrap: isFirst,
      inTolerance: isVoter,
      limits: {
        cpuShare: isVoter ? 1.35 : 0.675,
        cores: 1,
        memoryMb: isVoter ? 346 : 350,
        maxFds: 4096,
        linkMbps: 1000,
        diskMb: isVoter ? 128 : 0,
      },
      dataDir: isVoter ? dataDir : null,
      discovery: 'registry',
      entry: 'vip',
      heartbeatMs: 1500,
      contracts: [
        ...['base', 'drain', 'config', 'cost', 'recover', 'sched'],
        ...['advice', 'upkeep', 'sharing'],
      ],
      faultTolerance: {machines: 1, zones: 1, regionCount: 0},
      bounds: BOUNDS,
      config_mode: 'highest',
      orders: 'call',
      advice: `${this.net}.250:8169`,
      cloudApi: {
        addr: `${this.net}.251:8169`,
        ratePerS: 60,
        duties: [],
        dutyPerS: 60,
      },
    };
    writeFileSync(
      path.join(this.root, `${name}.json`),
      JSON.stringify(settings),
    );
  }

  /** Starts the program of a machine with the command of the deploy file. */
  startMachine(machine) {
    const [program, ...args] = this.commands[machine.kind];
    const log = openSync(this.logFile(machine), 'a');
    machine.proc = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: this.root,
        PRIMROSEWICK_BOOT: path.join(this.root, `${machine.name}.json`),
      },
      stdio: ['ignore', log, log],
    });
  }

  logFile({name}) {
    return path.join(this.root, `${name}.log`);
  }

  /** Sends a signal to the program of a machine. */
  signal(machine, name) {
    this.record(`${name} to ${machine.name}`);
    machine.proc.kill(name);
  }

  startMinion(i, {id = `i-${newId()}`, labels, capacity} = {}) {
    const zone = Object.keys(ZONES)[i % 3];
    const settings = {
      id,
      ip: `${this.net}.${100 + i}`,
      port: PORTS.minion,
      service: SERVICE,
      zone,
      controls: this.controls,
      labels: labels ?? ['a', `r-${i % 3}`],
      capacity: capacity ?? {cpu: 32_000, memMb: 131_072, gpu: 0},
      bounds: BOUNDS,
    };
    const proc = spawn(process.execPath, [MINION, JSON.stringify(settings)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    proc.stdin.on('error', () => undefined);
    let rest = '';
    proc.stdout.on('data', data => {
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      for (const line of lines) this.note(JSON.parse(line));
    });
    const minion = {id, proc, settings};
    this.minions[i] = minion;
    return minion;
  }

  note({at, minion, event, ...more}) {
    this.events.push({at, minion, event, ...more});
    const detail = Object.entries(more).map(([key, value]) => `${key}=${value}`);
    this.record(`${minion} ${event} ${detail.join(' ')}`);
  }

  count(event) {
    return this.events.filter(each => each.event === event).length;
  }

  /** The voter whose log says last that it leads. */
  leader() {
    const ledAt = machine => {
      const lines = readFileSync(this.logFile(machine), 'utf8').split('\n');
      const line = lines.findLast(text => text.includes('"lead_began"'));
      return /"time":"([^"]+)"/.exec(line ?? '')?.[1] ?? '';
    };
    return [...this.voters].sort((a, b) => (ledAt(a) < ledAt(b) ? 1 : -1))[0];
  }

  /** Sends a configuration as the operator does, to one node after the other. */
  async putConfig(config) {
    for (const address of this.controls) {
      const {status} = await request({
        address,
        method: 'POST',
        path: '/-/config/put',
        body: config,
        timeoutMs: 1000,
      });
      if (status !== 200) continue;
      this.record(`configuration ${config.version} acknowledged`);
      return true;
    }
    return false;
  }

  async areEntriesReady() {
    const answers = await Promise.all(
      this.entries.map(({ip}) =>
        request({
          address: `${ip}:${PORTS.ready}`,
          method: 'GET',
          path: '/-/readyz',
          timeoutMs: 1000,
        }),
      ),
    );
    return answers.every(({status}) => status === 200);
  }

  /** One call of a client at an entry. */
  async call(entry, method, rest, {body, deadlineMs = 3000} = {}) {
    const answer = await request({
      address: `${this.entries[entry % 3].ip}:${PORTS.front}`,
      method,
      path: PREFIX + rest,
      headers: {host: HOST, 'x-deadline-ms': String(deadlineMs)},
      body,
      timeoutMs: deadlineMs,
    });
    this.record(
      `${method} ${PREFIX}${rest} at ${this.entries[entry % 3].name}: ` +
        `${answer.status || 'no answer'} ${answer.text.trim().slice(0, 200)}`,
    );
    return answer;
  }

  /** Ends all processes that were started. */
  async destroy() {
    if (this.isOver) return;
    this.isOver = true;
    const procs = [...this.machines, ...this.minions]
      .map(({proc}) => proc)
      .filter(proc => proc && proc.exitCode === null && !proc.signalCode);
    const gone = procs.map(
      proc => new Promise(resolve => proc.once('exit', resolve)),
    );
    for (const proc of procs) proc.kill('SIGKILL');
    await Promise.all(gone);
    if (process.env.KEEP) console.log(`logs are kept in ${this.root}`);
    else rmSync(this.root, {recursive: true, force: true});
  }
}

/**
 * Runs a case: exits with 1 if it returns a broken rule, 0 if it returns
 * nothing, 2 if it could not run.
 */
export const runCase = async (folder, play) => {
  const cell = new Cell(folder);
  const isTroubled = process.env.TROUBLE !== '0';
  const limit = setTimeout(() => void finish(2, 'the case took too long'), 118_000);
  const finish = async (code, text) => {
    clearTimeout(limit);
    cell.record(text);
    console.log(text);
    await cell.destroy();
    process.exit(code);
  };
  for (const name of ['SIGINT', 'SIGTERM'])
    process.on(name, () => void finish(2, `ended by ${name}`));
  try {
    const broken = await play(cell, isTroubled);
    await finish(broken ? 1 : 0, broken ? `BROKEN: ${broken}` : 'the rule held');
  } catch (err) {
    await finish(2, `could not run: ${err.stack}`);
  }
};
