/** A minion as PROTOCOL.md describes it. Its tasks do what the text of their job says. */
import {createServer} from 'node:http';
import {once} from 'node:events';
import {SERVICE} from './cell.mjs';
import {call} from './http.mjs';

const HEARTBEAT_MS = 1500;
const STOP_MS = 200;
const CLOCK_START_MS = 100_000;

/** Share of its work that a run has done; 0 for one without a time. */
const percentOf = ({startedAt, workMs = Infinity}) => Math.min(99, Math.floor((100 * (Date.now() - startedAt)) / workMs));

/** One life of a minion. */
export class Minion {
  /**
   * @param onStart - called for each start before it is answered; what it
   *   returns is done instead of running the task for its time.
   */
  constructor({cell, id, index, zone, cpu = 32_000, labels, runs = [], onStart}) {
    Object.assign(this, {cell, id, zone, cpu, runs, onStart});
    this.address = cell.minionAddress(index);
    this.labels = labels ?? ['a', `r-${zone}`];
    this.born = Date.now();
    this.clock0 = performance.now();
    this.running = new Map();
    this.past = new Map();
    this.ended = [];
    this.endCount = 0;
    this.fence = 0;
    this.leaseEnd = 0;
    this.seq = 0;
    this.control = Math.floor(Math.random() * 3);
    this.wakeups = new Set();
    this.sockets = new Set();
    this.timers = [];
    this.isUp = true;
    this.isDark = false;
  }

  async start() {
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
      if (this.isDark) socket.pause();
    });
    const [host, port] = this.address.split(':');
    this.server.listen(Number(port), host);
    await once(this.server, 'listening');
    this.cell.record(`minion ${this.id} is up, born ${this.born}`);
    void this.beat();
    this.timers.push(
      setInterval(() => void this.beat(), HEARTBEAT_MS),
      setInterval(() => this.checkLease(), 20),
    );
  }

  /** Loses power: everything that runs ends, and nothing is answered any more. */
  goDark(why) {
    if (!this.isUp) return;
    this.isUp = false;
    this.isDark = true;
    this.cell.record(`minion ${this.id} (born ${this.born}) has crashed: ${why}`);
    for (const timer of this.timers) clearInterval(timer);
    for (const run of this.running.values()) run.endedAt = Date.now();
    this.running.clear();
    for (const socket of this.sockets) socket.pause();
  }

  /** Frees its address, for the next life. Connections of the old life are reset. */
  async close() {
    this.isUp = false;
    for (const timer of this.timers) clearInterval(timer);
    const closed = new Promise(resolve => this.server.close(resolve));
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closed;
  }

  get clockMs() {
    return Math.floor(CLOCK_START_MS + performance.now() - this.clock0);
  }

  heartbeat(more = {}) {
    return {
      service: SERVICE,
      addr: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      capacity: {cpu: this.cpu, memMb: 131_072, gpu: 0},
      labels: this.labels,
      clockMs: this.clockMs,
      born: this.born,
      seq: ++this.seq,
      ...more,
    };
  }

  async beat() {
    for (let i = 0; i < 3 && this.isUp; i++) {
      const address = this.cell.controls[this.control % 3];
      const path = `/-/instances/${this.id}/heartbeat`;
      const reply = await call({address, method: 'POST', path, body: this.heartbeat()});
      if (reply.status >= 200 && reply.status < 300) return;
      this.control++;
    }
  }

  async serve(req, res) {
    const parts = [];
    req.on('error', () => undefined);
    for await (const part of req) parts.push(part);
    if (!this.isUp) return;
    const [status, body] = (await this.handle(req, Buffer.concat(parts))) ?? [];
    if (!this.isUp || status === undefined || res.destroyed) return;
    const text = JSON.stringify({...body, clockMs: this.clockMs, born: this.born});
    res.writeHead(status, {'content-type': 'application/json'}).end(text);
  }

  handle(req, bytes) {
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) return [421, {}];
    if (req.method === 'GET') return [200, {}];
    const order = JSON.parse(bytes.toString('utf8'));
    const {fence = 0} = order;
    if (fence < this.fence) return [409, {reason: 'fence'}];
    this.fence = fence;
    if (req.url === '/-/run-start') return this.startRun(order);
    if (req.url === '/-/run-stop') return this.stopRun(order);
    if (req.url === '/-/hold') return this.hold(order);
    return [404, {}];
  }

  startRun({task, run, spec, untilMs}) {
    const there = this.running.get(task)?.run ?? 0;
    if (there === run) return [200, {}];
    if (run <= Math.max(this.past.get(task) ?? 0, there)) {
      this.extendLease(untilMs);
      return [409, {reason: 'old'}];
    }
    if (untilMs <= this.clockMs) return [409, {reason: 'late'}];
    this.extendLease(untilMs);
    const entry = {task, run, spec, minion: this.id, startedAt: Date.now(), endedAt: Infinity, how: undefined};
    this.running.set(task, entry);
    this.runs.push(entry);
    this.cell.record(`minion ${this.id} starts ${task} run ${run}`);
    if (this.onStart?.(this, entry) === 'taken') return this.isUp ? [200, {}] : undefined;
    entry.workMs = Number(/work (\d+)/.exec(spec)?.[1] ?? 500);
    setTimeout(() => this.end(entry, 'done'), entry.workMs);
    return [200, {}];
  }

  stopRun({task, run}) {
    this.past.set(task, Math.max(this.past.get(task) ?? 0, run));
    const entry = this.running.get(task);
    if (entry?.run === run) setTimeout(() => this.end(entry, 'stopped'), STOP_MS);
    return [200, {}];
  }

  async hold({ackedUpto = 0, untilMs, waitMs}) {
    this.checkLease();
    this.ended = this.ended.filter(([n]) => n > ackedUpto);
    this.extendLease(untilMs);
    if (this.ended.length === 0 && waitMs) await this.untilEnd(waitMs);
    const running = [...this.running.values()].map(entry => [entry.task, entry.run, '', percentOf(entry), 0]);
    return [200, {running, ended: this.ended.slice(0, 500)}];
  }

  untilEnd(waitMs) {
    return new Promise(resolve => {
      const wake = () => {
        this.wakeups.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.wakeups.add(wake);
    });
  }

  extendLease(untilMs) {
    if (untilMs === undefined) return;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(untilMs, this.clockMs + 10_000));
  }

  checkLease() {
    if (!this.isUp || this.clockMs < this.leaseEnd) return;
    for (const run of [...this.running.values()]) this.end(run, 'lapsed');
  }

  end(entry, how) {
    if (!this.isUp || this.running.get(entry.task) !== entry) return;
    this.running.delete(entry.task);
    entry.endedAt = Date.now();
    entry.how = how;
    this.past.set(entry.task, Math.max(this.past.get(entry.task) ?? 0, entry.run));
    this.ended.push([++this.endCount, entry.task, entry.run, how, '']);
    this.cell.record(`minion ${this.id}: ${entry.task} run ${entry.run} ended ${how}`);
    for (const wake of [...this.wakeups]) wake();
  }
}
