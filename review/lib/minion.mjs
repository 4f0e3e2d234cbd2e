/**
 * Stand-in for a minion, as PROTOCOL.md describes it. One process is one life.
 * It logs to the file LOG what it was told, began and ended, with the time of
 * day in ms. A line on its standard input changes what its network does:
 *   cut    nothing comes in or goes out
 *   join   the network is whole again; connections from before are broken
 */
import {createServer, request} from 'node:http';
import {appendFileSync, existsSync, mkdirSync, readdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {createInterface} from 'node:readline';

const opt = JSON.parse(process.argv[2]);
const {id, host, port, service, zone, controls, heartbeatMs, maxHoldMs, stopMs} =
  opt;
const capacity = opt.capacity ?? {cpu: 32000, memMb: 131072, gpu: 0};
const labels = opt.labels ?? ['a', `r-${zone}`];
const born = Date.now();
const bornSteady = performance.now();
/** The minion's steady clock, which begins at another value than its callers'. */
const clock = () => Math.floor(100_000 + performance.now() - bornSteady);
const MAX_ENDS_LISTED = 500;

const log = (event, fields = {}) =>
  appendFileSync(
    opt.log,
    JSON.stringify({at: Date.now(), minion: id, born, event, ...fields}) + '\n',
  );

let isCut = false;
let fence = 0;
let lease = 0;
let ackedUpto = 0;
let endCount = 0;
let seq = 0;
const sockets = new Set();
const running = new Map();
/** Highest run that was stopped or has ended, by task. */
const past = new Map();
let ended = [];
const waiting = new Set();

const end = (task, how) => {
  const entry = running.get(task);
  if (!entry) return;
  running.delete(task);
  clearTimeout(entry.timer);
  entry.onEnd?.(how);
  past.set(task, Math.max(past.get(task) ?? 0, entry.run));
  const n = ++endCount;
  ended.push([n, task, entry.run, how, '']);
  log('end', {n, task, run: entry.run, how});
  for (const wake of waiting) wake();
};

let isLeaseNoted = true;
const lapseCheck = () => {
  if (!isLeaseNoted && clock() >= lease) {
    isLeaseNoted = true;
    log('lease_over', {lease});
  }
  if (running.size > 0 && clock() >= lease)
    for (const task of [...running.keys()]) end(task, 'lapsed');
};
setInterval(lapseCheck, 20);

const extend = untilMs => {
  if (untilMs === undefined) return;
  lease = Math.max(lease, Math.min(untilMs, clock() + maxHoldMs));
  isLeaseNoted = false;
};

/** How long a task works, as its spec says: "work MS". */
const workMs = spec => Number(/work (\d+)/.exec(spec)?.[1] ?? 1000);

/**
 * A task of a gang, whose spec begins with "gang SIZE": its minions share a
 * folder for each run, as the members reach each other without the system. The
 * work begins once all members are there, and they end `done` together.
 */
const runGang = (task, entry, size) => {
  const step = task.slice(0, task.lastIndexOf('.'));
  const folder = path.join(opt.shared, `${step}-${entry.run}`);
  mkdirSync(folder, {recursive: true});
  writeFileSync(path.join(folder, task), '');
  const until = clock() + opt.gangWaitMs;
  let doneAt;
  entry.timer = setInterval(() => {
    if (existsSync(path.join(folder, 'broken'))) return end(task, 'broken');
    const isWhole = readdirSync(folder).length >= size;
    if (isWhole) doneAt ??= clock() + workMs(entry.spec);
    if (doneAt !== undefined && clock() >= doneAt) end(task, 'done');
    else if (doneAt === undefined && clock() >= until) end(task, 'alone');
  }, 10);
  entry.onEnd = how => {
    clearInterval(entry.timer);
    if (how !== 'done') writeFileSync(path.join(folder, 'broken'), '');
  };
};

const startRun = ({task, run, spec, untilMs, fence: sent = 0}) => {
  if (sent < fence) return [409, {reason: 'fence'}];
  fence = sent;
  const there = running.get(task);
  if (there?.run === run) return [200, {}];
  if (run <= Math.max(past.get(task) ?? 0, there?.run ?? 0)) {
    extend(untilMs);
    return [409, {reason: 'old'}];
  }
  if (untilMs <= clock()) return [409, {reason: 'late'}];
  extend(untilMs);
  const entry = {run, at: clock(), spec};
  const size = Number(/^gang (\d+)/.exec(spec)?.[1] ?? 1);
  // The first step of such a job is its gang; the others' tasks stand alone.
  if (size > 1 && task.split('.')[2] === '0') runGang(task, entry, size);
  else entry.timer = setTimeout(() => end(task, 'done'), workMs(spec));
  running.set(task, entry);
  log('start', {task, run, spec: spec.slice(0, 40)});
  return [200, {}];
};

const stopRun = ({task, run, fence: sent = 0}) => {
  if (sent < fence) return [409, {reason: 'fence'}];
  fence = sent;
  past.set(task, Math.max(past.get(task) ?? 0, run));
  log('stop', {task, run});
  if (running.get(task)?.run === run)
    setTimeout(() => {
      if (running.get(task)?.run === run) end(task, 'stopped');
    }, stopMs / 2);
  return [200, {}];
};

const lists = () => ({
  running: [...running].map(([task, {run, at, spec}]) => [
    task,
    run,
    '',
    Math.min(99, Math.floor((100 * (clock() - at)) / workMs(spec))),
    0,
  ]),
  ended: ended.slice(0, MAX_ENDS_LISTED),
});

const hold = async ({fence: sent = 0, ackedUpto: acked = 0, untilMs, waitMs = 0}) => {
  if (sent < fence) return [409, {reason: 'fence'}];
  fence = sent;
  if (acked > ackedUpto) {
    ackedUpto = acked;
    ended = ended.filter(([n]) => n > acked);
    log('acked', {upto: acked});
  }
  lapseCheck();
  extend(untilMs);
  if (ended.length === 0 && waitMs > 0)
    await new Promise(resolve => {
      const wake = () => {
        waiting.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiting.add(wake);
    });
  return [200, lists()];
};

const HANDLERS = {
  '/-/run-start': startRun,
  '/-/run-stop': stopRun,
  '/-/hold': hold,
};

const server = createServer((req, res) => {
  const parts = [];
  req.on('data', part => parts.push(part));
  req.on('end', async () => {
    if (isCut) return;
    const send = (status, body) => {
      if (isCut || res.destroyed) return;
      const text = JSON.stringify({...body, clockMs: clock(), born});
      res.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      res.end(text);
    };
    if (req.method === 'GET') return send(200, {});
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) return send(421, {});
    const handler = HANDLERS[req.url];
    if (!handler) return send(404, {});
    let body;
    try {
      body = JSON.parse(Buffer.concat(parts).toString());
    } catch {
      return send(400, {});
    }
    const [status, answer] = await handler(body);
    send(status, answer);
  });
});
server.keepAliveTimeout = 60_000;
server.on('connection', socket => {
  sockets.add(socket);
  socket.on('close', () => sockets.delete(socket));
  socket.on('error', () => undefined);
});

const callControl = (address, path, body) =>
  new Promise(resolve => {
    const [toHost, toPort] = address.split(':');
    const text = JSON.stringify(body);
    const req = request(
      {
        host: toHost,
        port: toPort,
        method: 'POST',
        path,
        agent: false,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        },
      },
      res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode >= 200 && res.statusCode < 300));
        res.on('error', () => resolve(false));
      },
    );
    const timer = setTimeout(() => req.destroy(), 1000);
    req.on('close', () => {
      clearTimeout(timer);
      resolve(false);
    });
    req.on('error', () => resolve(false));
    req.end(text);
  });

let next = opt.firstControl ?? 0;
const beat = async () => {
  const body = {
    service,
    addr: `${host}:${port}`,
    zone,
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldLeftMs: 0,
    capacity,
    labels,
    clockMs: clock(),
    born,
    seq: ++seq,
  };
  for (let i = 0; i < controls.length && !isCut; i++) {
    if (await callControl(controls[next], `/-/instances/${id}/heartbeat`, body))
      return;
    next = (next + 1) % controls.length;
  }
};

createInterface({input: process.stdin})
  .on('line', line => {
    log(line);
    isCut = line === 'cut';
    if (!isCut) for (const socket of sockets) socket.destroy();
  })
  .on('close', () => process.exit(0));

server.listen(port, host, () => {
  log('up');
  void beat();
  setInterval(() => void beat(), heartbeatMs);
});
