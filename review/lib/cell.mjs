/**
 * Runs the project's own programs as separate processes on loopback addresses,
 * with the commands of deploy/system.toml, beside stand-ins for minions,
 * clients and the operator.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const LIB = path.dirname(fileURLToPath(import.meta.url));
export const ROOT = path.resolve(LIB, '../..');
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

const ZONES = ['krakow-store', 'nowy-targ', 'tarnow-store'];
const BOUNDS = {
  seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4,
  drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000,
  rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, maxHoldMs: 10000,
  stopMs: 400, gangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000,
  early_ms: 250, finish_s: 14, status_s: 120, spreadFactor: 2,
  checkpointS: 0.5, restoreMs: 600, noticeMs: 4500, migrateS: 1.5,
  maintenanceS: 2, fencing: false, leaseMs: 3000, thawMs: 300, paceMs: 100,
  impactMs: 4000,
};
const PORTS = {front: 8161, ready: 8167, control: 8166, minion: 8367};
const HEARTBEAT_MS = 1500;
export const HOST = 'nony24.example';

/** The commands of deploy/system.toml, by role. */
const readCommands = () => {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const commands = {};
  for (const part of text.split(/^\[roles\./m).slice(1)) {
    const role = part.slice(0, part.indexOf(']'));
    const run = /^run\s*=\s*"([^"]*)"/m.exec(part)?.[1];
    if (run) commands[role] = run.split(' ');
  }
  return commands;
};

const canListen = host =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(PORTS.control, host, () => server.close(() => resolve(true)));
  });

/** A small deployment: 3 voters, `fronts` entries and some minions. */
export class Cell {
  processes = new Map();
  lines = [];

  static async create(options = {}) {
    const cell = new Cell();
    const {fronts = 3, bounds = {}} = options;
    cell.commands = readCommands();
    cell.root = mkdtempSync(path.join(tmpdir(), 'review-'));
    cell.recordFile = options.recordFile;
    cell.bounds = {...BOUNDS, ...bounds};
    let net;
    for (let i = 0; i < 20; i++) {
      net = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
      if (await canListen(`${net}.1`)) break;
    }
    cell.net = net;
    cell.voters = ZONES.map((zone, i) => ({
      name: `core-${zone}-1`, role: 'voter', zone, ip: `${net}.${i + 1}`,
    }));
    cell.fronts = Array.from({length: fronts}, (_, i) => ({
      name: `front-${ZONES[i % 3]}-${1 + Math.floor(i / 3)}`,
      role: 'entry', zone: ZONES[i % 3], ip: `${net}.${i + 11}`,
    }));
    for (const vm of [...cell.voters, ...cell.fronts]) cell.writeSettings(vm);
    return cell;
  }

  /** Adds a line to the record. */
  note(event, fields = {}) {
    this.lines.push({at: Date.now(), event, ...fields});
  }

  get controls() {
    return this.voters.map(({ip}) => `${ip}:${PORTS.control}`);
  }

  settingsFile(vm) {
    return path.join(this.root, `${vm.name}.json`);
  }

  writeSettings(vm) {
    const isVoter = vm.role === 'voter';
    const dataDir = isVoter ? path.join(this.root, `data-${vm.name}`) : null;
    if (dataDir) mkdirSync(dataDir);
    const listen = isVoter
      ? {control: `${vm.ip}:${PORTS.control}`}
      : {front: `${vm.ip}:${PORTS.front}`, ready: `${vm.ip}:${PORTS.ready}`};
    writeFileSync(
      this.settingsFile(vm),
      JSON.stringify({
        nodeName: vm.name,
        role: vm.role,
        machineClass: isVoter ? 'core' : 'front',
        serves: [isVoter ? 'control' : 'front'],
        ip: vm.ip,
        zone: vm.zone,
        region: 'malopolska',
        zones: Object.fromEntries(ZONES.map(zone => [zone, 'malopolska'])),
        listen,
        portRange: [7720, 7735],
        seeds: this.controls,
        bootstrap: true,
        inTolerance: isVoter,
        limits: {
          cpuShare: isVoter ? 1 : 0.675, cores: 1,
          memoryMb: isVoter ? 346 : 350, maxFds: 4096, linkMbps: 1000,
          diskMb: isVoter ? 128 : 0,
        },
        dataDir,
        discovery: 'registry',
        entry: 'vip',
        heartbeatMs: HEARTBEAT_MS,
        contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched'],
        faultTolerance: {machines: 1, zones: 1, regionCount: 0},
        bounds: this.bounds,
        config_mode: 'highest',
        orders: 'call',
        advice: null,
      }),
    );
  }

  /** Starts a process of the system, or starts it again. */
  start(vm) {
    const [program, ...args] = this.commands[vm.role];
    const out = openSync(path.join(this.root, `${vm.name}.log`), 'a');
    const {PATH, HOME = '/tmp', LANG = 'C'} = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, PRIMROSEWICK_BOOT: this.settingsFile(vm)},
      stdio: ['ignore', out, out],
    });
    child.on('exit', (code, signal) =>
      this.note('process_ended', {process: vm.name, code, signal}),
    );
    this.processes.set(vm.name, child);
    this.note('process_started', {process: vm.name, pid: child.pid});
    return child;
  }

  signal(vm, signal) {
    this.note('signal', {process: vm.name, signal});
    this.processes.get(vm.name).kill(signal);
  }

  /** Starts all processes of the system. */
  startAll() {
    for (const vm of [...this.voters, ...this.fronts]) this.start(vm);
  }

  /** Starts one life of minion number `i`. */
  startMinion(i, options = {}) {
    const name = `minion-${i}`;
    const opt = {
      id: `i-${String(i).padStart(8, '0')}`,
      host: `${this.net}.${100 + i}`,
      port: PORTS.minion,
      service: 'huvo11a',
      zone: ZONES[i % 3],
      controls: this.controls,
      firstControl: i % 3,
      heartbeatMs: HEARTBEAT_MS,
      maxHoldMs: this.bounds.maxHoldMs,
      stopMs: this.bounds.stopMs,
      gangWaitMs: this.bounds.gangWaitMs,
      shared: path.join(this.root, 'gangs'),
      log: path.join(this.root, `${name}.minion`),
      ...options,
    };
    const child = spawn(
      process.execPath,
      [path.join(LIB, 'minion.mjs'), JSON.stringify(opt)],
      {stdio: ['pipe', 'inherit', 'inherit']},
    );
    child.stdin.on('error', () => undefined);
    child.on('exit', (code, signal) =>
      this.note('minion_ended', {minion: opt.id, code, signal}),
    );
    this.processes.set(name, child);
    this.note('minion_started', {minion: opt.id, pid: child.pid});
    return opt;
  }

  tellMinion(i, line) {
    this.note('tell_minion', {minion: i, line});
    this.processes.get(`minion-${i}`).stdin.write(`${line}\n`);
  }

  /** Kills a minion; resolves once its process is gone. */
  killMinion(i) {
    this.note('kill_minion', {minion: i});
    const child = this.processes.get(`minion-${i}`);
    const gone = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    return gone;
  }

  /** What the minions logged, in order of time. */
  minionEvents() {
    return readdirSync(this.root)
      .filter(file => file.endsWith('.minion'))
      .flatMap(file =>
        readFileSync(path.join(this.root, file), 'utf8')
          .split('\n')
          .filter(Boolean)
          .map(line => JSON.parse(line)),
      )
      .sort((a, b) => a.at - b.at);
  }

  /** Lines of a process's log that hold a text. */
  logLines(vm, text) {
    const file = path.join(this.root, `${vm.name}.log`);
    if (!existsSync(file)) return [];
    return readFileSync(file, 'utf8')
      .split('\n')
      .filter(line => line.includes(text));
  }

  /** The voter whose log says last that it leads. */
  leader() {
    const found = this.voters
      .map(vm => ({vm, line: this.logLines(vm, '"leadership changed"').at(-1)}))
      .filter(({line}) => line?.includes('lead_began'))
      .sort((a, b) => timeOf(a.line) - timeOf(b.line));
    return found.at(-1)?.vm;
  }

  /** Puts a configuration in force, as the operator does; tries until it is acknowledged. */
  async putConfig(config, {tries = 40} = {}) {
    for (let i = 0; i < tries; i++) {
      const address = this.controls[i % this.controls.length];
      const answer = await call(address, 'POST', '/-/config/put', {
        body: config,
        timeoutMs: 1000,
      });
      this.note('config_put', {version: config.version, status: answer.status});
      if (answer.status === 200) return true;
      await sleep(250);
    }
    return false;
  }

  async isReady(vm) {
    const answer = await call(`${vm.ip}:${PORTS.ready}`, 'GET', '/-/readyz', {
      timeoutMs: 500,
    });
    return answer.status === 200;
  }

  /** Starts everything and waits until clients can be served. */
  async boot({minions, config = makeConfig(), minionOptions = () => ({})}) {
    this.startAll();
    for (let i = 0; i < minions; i++) this.startMinion(i, minionOptions(i));
    await sleep(1500);
    if (!(await this.putConfig(config))) return false;
    for (let i = 0; i < 60; i++) {
      const ready = await Promise.all(this.fronts.map(vm => this.isReady(vm)));
      if (ready.every(Boolean)) {
        await sleep(3000);
        return true;
      }
      await sleep(250);
    }
    return false;
  }

  /** Sends a heartbeat to the first node that serves control, as any writer could. */
  async sendHeartbeat(id, body) {
    const {status} = await call(
      this.controls[0], 'POST', `/-/instances/${id}/heartbeat`, {body, timeoutMs: 1000},
    );
    this.note('heartbeat_of_another_writer', {id, body, status});
    return status;
  }

  /** One try of a client's request at an entry; status 0 if there was no answer. */
  async clientCall(front, method, target, {body, timeoutMs = 3000} = {}) {
    const answer = await call(
      `${front.ip}:${PORTS.front}`,
      method,
      target,
      {body, timeoutMs, headers: {host: HOST, 'x-deadline-ms': String(timeoutMs)}},
    );
    this.note('client', {
      front: front.name, method, target,
      status: answer.status, answer: answer.text?.slice(0, 200),
    });
    return answer;
  }

  /** Submits a job as a client does: again with the same id after no clear answer. */
  async submit(id, job, {prefix = '/lohu930/', tries = 5} = {}) {
    const statuses = [];
    for (let i = 0; i < tries; i++) {
      const front = this.fronts[(i + Number.parseInt(id.slice(-2), 16)) % this.fronts.length];
      const {status} = await this.clientCall(front, 'POST', prefix + id, {body: job});
      statuses.push(status);
      if (status >= 200 && status < 300) break;
      if (status >= 400 && status < 500 && status !== 429) break;
      await sleep(500);
    }
    return statuses;
  }

  /** Ends all processes, and writes the record. */
  async close(verdict, findings) {
    for (const child of this.processes.values())
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    await sleep(200);
    const all = [...this.lines, ...this.minionEvents()].sort((a, b) => a.at - b.at);
    if (this.recordFile) {
      writeFileSync(this.recordFile, '');
      const from = all[0]?.at ?? 0;
      for (const {at, ...line} of all)
        appendFileSync(
          this.recordFile,
          `${((at - from) / 1000).toFixed(3)} ${JSON.stringify(line)}\n`,
        );
      for (const line of [...findings, `verdict: exit ${verdict}`])
        appendFileSync(this.recordFile, `# ${line}\n`);
    }
    for (const line of findings) console.log(line);
    if (process.env.KEEP) console.log('kept', this.root);
    else rmSync(this.root, {recursive: true, force: true});
  }
}

const timeOf = line => Date.parse(/"time":"([^"]+)"/.exec(line)?.[1] ?? 0);

export const makeConfig = (version = 1, routes = [makeRoute()]) => ({
  version,
  routes,
  services: [
    {
      name: 'huvo11a', healthPath: '/healthz', maxConns: 64, protocol: 'h1',
      tls: false, admissionCheck: false, standby: false,
    },
  ],
  limits: {
    maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
});

export const makeRoute = (fields = {}) => ({
  name: 'r-wrr6x73', host: HOST, prefix: '/lohu930/', kind: 'non_idempotent',
  timeoutMs: 3000, sloMs: 3000, priority: 1, service: 'huvo11a', attempts: 4,
  stretch: 4, ...fields,
});

/** A job's id: 16 hexadecimal digits. */
export const jobId = () =>
  Array.from({length: 16}, () => Math.floor(Math.random() * 16).toString(16)).join('');

const call = (address, method, target, {body, timeoutMs, headers = {}}) =>
  new Promise(resolve => {
    const [host, port] = address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = request(
      {
        host, port, method, path: target, agent: false,
        headers: {
          ...(text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(text),
              }),
          ...headers,
        },
      },
      res => {
        const parts = [];
        res.on('data', part => parts.push(part));
        res.on('end', () =>
          resolve({
            status: res.statusCode,
            headers: res.headers,
            text: Buffer.concat(parts).toString(),
          }),
        );
        res.on('error', () => resolve({status: 0}));
      },
    );
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    req.on('close', () => {
      clearTimeout(timer);
      resolve({status: 0});
    });
    req.on('error', () => resolve({status: 0}));
    req.end(text);
  });

/** Runs a case, and ends the process with its verdict. */
export const runCase = async (folder, options, play) => {
  const cell = await Cell.create({
    ...options,
    recordFile: path.join(folder, 'record.txt'),
  });
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () =>
      void cell.close(COULD_NOT_RUN, [signal]).then(() => process.exit(COULD_NOT_RUN)),
    );
  let verdict = COULD_NOT_RUN;
  let findings = [];
  const limit = setTimeout(() => {
    console.log('the case took too long');
    void cell.close(COULD_NOT_RUN, ['took too long']).then(() => process.exit(COULD_NOT_RUN));
  }, 112_000);
  try {
    [verdict, findings] = await play(cell);
  } catch (err) {
    findings = [`could not run: ${err.stack}`];
  }
  clearTimeout(limit);
  await cell.close(verdict, findings);
  process.exit(verdict);
};
