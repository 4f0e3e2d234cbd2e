/**
 * Stand-in for a minion, as PROTOCOL.md describes it ("Running tasks",
 * "Service discovery"). It runs as a process of its own: settings come as JSON
 * in the first argument, and each event is written to standard output as a line.
 *
 * The `spec` of a job says what its tasks do: `work 800` ends as done after
 * 800 ms of work, `lasts` runs until it is stopped, `deadly 800` crashes the
 * minion 800 ms after its start.
 */
import {createServer} from 'node:http';
import {request} from './http.mjs';

const settings = JSON.parse(process.argv[2]);
const {id, ip, port, service, zone, controls, labels, bounds} = settings;
const HEARTBEAT_MS = settings.heartbeatMs ?? 1500;
const STOP_MS = Math.min(200, bounds.stopMs);
const ENDS_PER_ANSWER = 500;
/** The steady clock of this life; it begins anew with each. */
const CLOCK_START_MS = 100_000;

const startedAt = performance.now();
const born = Date.now();
const clockMs = () => Math.floor(CLOCK_START_MS + performance.now() - startedAt);
const tell = (event, more = {}) =>
  process.stdout.write(
    JSON.stringify({at: Date.now(), minion: id, event, ...more}) + '\n',
  );

const running = new Map();
/** Highest run of each task that was stopped or ended here. */
const past = new Map();
let ended = [];
let endCount = 0;
let fence = 0;
let leaseEnd = 0;
let seq = 0;
let isShedding = false;
let state = 'ready';
let waiting = [];

const endRun = (entry, how) => {
  if (running.get(entry.task) !== entry) return;
  running.delete(entry.task);
  past.set(entry.task, Math.max(past.get(entry.task) ?? 0, entry.run));
  ended.push([++endCount, entry.task, entry.run, how, '']);
  tell('end', {task: entry.task, run: entry.run, how, number: endCount});
  for (const wake of waiting.splice(0)) wake();
};

const extendLease = untilMs => {
  if (untilMs === undefined) return;
  const latest = clockMs() + bounds.maxHoldMs;
  leaseEnd = Math.max(leaseEnd, Math.min(untilMs, latest));
};

const checkLease = () => {
  if (clockMs() < leaseEnd) return;
  for (const entry of [...running.values()]) endRun(entry, 'lapsed');
};
setInterval(checkLease, 20);

const percentOf = ({at, workMs}) =>
  workMs === undefined
    ? 100
    : Math.min(99, Math.floor((100 * (performance.now() - at)) / workMs));

const runStart = ({task, run, spec, untilMs}) => {
  if (isShedding) return [503, {}];
  const there = running.get(task)?.run ?? 0;
  if (there === run) return [200, {}];
  if (run <= Math.max(past.get(task) ?? 0, there)) {
    extendLease(untilMs);
    return [409, {reason: 'old'}];
  }
  if ((untilMs ?? 0) <= clockMs()) return [409, {reason: 'late'}];
  extendLease(untilMs);
  const workMs = Number(/work (\d+)/.exec(spec)?.[1]) || undefined;
  const entry = {task, run, at: performance.now(), workMs};
  running.set(task, entry);
  tell('start', {task, run});
  const [, deadlyMs] = /deadly (\d+)/.exec(spec) ?? [];
  if (deadlyMs !== undefined)
    setTimeout(() => {
      tell('crash', {task, run});
      process.exit(1);
    }, Number(deadlyMs));
  if (workMs !== undefined) setTimeout(() => endRun(entry, 'done'), workMs);
  return [200, {}];
};

const runStop = ({task, run}) => {
  past.set(task, Math.max(past.get(task) ?? 0, run));
  const entry = running.get(task);
  if (entry?.run === run) setTimeout(() => endRun(entry, 'stopped'), STOP_MS);
  return [200, {}];
};

const hold = async ({ackedUpto = 0, untilMs, waitMs}) => {
  checkLease();
  ended = ended.filter(([number]) => number > ackedUpto);
  extendLease(untilMs);
  if (ended.length === 0 && waitMs)
    await new Promise(resolve => {
      const timer = setTimeout(resolve, Math.min(2000, waitMs));
      waiting.push(() => (clearTimeout(timer), resolve()));
    });
  return [
    200,
    {
      running: [...running.values()].map(entry => [
        entry.task,
        entry.run,
        '',
        percentOf(entry),
        0,
      ]),
      ended: ended.slice(0, ENDS_PER_ANSWER),
    },
  ];
};

const ORDERS = {
  '/-/run-start': runStart,
  '/-/run-stop': runStop,
  '/-/hold': hold,
};

const answer = async (req, body) => {
  if (req.url === '/healthz') return [isShedding ? 503 : 200, {}];
  const expected = req.headers['x-expect-instance'];
  if (expected !== undefined && expected !== id) return [421, {}];
  const order = ORDERS[req.url];
  if (!order) return [404, {}];
  const input = JSON.parse(body);
  if ((input.fence ?? 0) < fence) return [409, {reason: 'fence'}];
  fence = input.fence ?? 0;
  return order(input);
};

const server = createServer(async (req, res) => {
  const parts = [];
  req.on('error', () => undefined);
  for await (const part of req) parts.push(part);
  const [status, more] = await answer(req, Buffer.concat(parts).toString());
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify({...more, clockMs: clockMs(), born}));
});
server.keepAliveTimeout = 60_000;

/** Calls the nodes that serve control in turn until one acknowledges. */
let control = 0;
const say = async (word, body) => {
  for (let i = 0; i < controls.length; i++) {
    const {status} = await request({
      address: controls[control % controls.length],
      method: 'POST',
      path: `/-/instances/${id}/${word}`,
      body,
      timeoutMs: 1000,
    });
    if (status >= 200 && status < 300) return true;
    control++;
  }
  return false;
};

const beat = () =>
  say('heartbeat', {
    service,
    addr: `${ip}:${port}`,
    zone,
    version: 'v1',
    slots: 8,
    state,
    coldLeftMs: 0,
    capacity: settings.capacity,
    labels,
    clockMs: clockMs(),
    born,
    seq: ++seq,
  });

/** Words of the test that runs this minion. */
process.stdin.on('data', data => {
  for (const word of data.toString().split('\n').filter(Boolean)) {
    if (word === 'shed') isShedding = true;
    if (word === 'sound') isShedding = false;
    tell(word);
  }
});
process.stdin.on('end', () => process.exit(0));

server.listen(port, ip, async () => {
  while (!(await beat())) await new Promise(done => setTimeout(done, 200));
  tell('registered', {born, seq});
  setInterval(async () => {
    if (await beat()) tell('acknowledged', {seq});
  }, HEARTBEAT_MS);
});
