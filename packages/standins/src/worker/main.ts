/**
 * Stand-in for a worker: announces itself, runs tasks for their declared time
 * under leases, and records the runs. A command that starts with "fail" fails.
 * `GET /stats` returns the records.
 */
import {randomBytes} from 'node:crypto';
import {startOrderSchema, type WorkerOrders} from '@primrosewick/protocol';
import {CellError, asId, type WorkerId, type ZoneId} from '@primrosewick/state';
import {
  HttpServer,
  systemClock,
  type HttpContext,
  type HttpReply,
} from '@primrosewick/transport';
import {Announcer} from '../utils/announcer.js';
import {readArgs, requireArg} from '../utils/args.js';
import {WorkerCore} from './core.js';

const ANNOUNCE_MS = 500;
const TICK_MS = 20;

const args = readArgs(process.argv.slice(2));
const address = requireArg(args, 'address');
const worker = asId<WorkerId>(
  `${requireArg(args, 'name')}-${randomBytes(3).toString('hex')}`,
);
const core = new WorkerCore({
  worker,
  zone: asId<ZoneId>(requireArg(args, 'zone')),
  rack: args.get('rack') ?? 'rack-1',
  address,
  size: {
    cpuMillis: Number(args.get('cpu') ?? 32_000),
    memoryMb: Number(args.get('memory') ?? 131_072),
    accelerators: Number(args.get('accelerators') ?? 0),
  },
  outcomeOf: command => (command.startsWith('fail') ? 'failed' : 'succeeded'),
});

let lastSeq = 0;
const announcer = new Announcer<WorkerOrders>({
  entries: requireArg(args, 'entries').split(','),
  path: '/v1/workers',
  periodMs: ANNOUNCE_MS,
  nextAnnouncement: () => {
    const announcement = core.announce(systemClock.now());
    lastSeq = announcement.seq;
    return announcement;
  },
  onReply: orders =>
    core.onAnnouncementReply(lastSeq, orders, systemClock.now()),
});

const startTask = async (http: HttpContext): Promise<HttpReply> => {
  const order = await http.readJson(startOrderSchema);
  const refusal = core.start(order, systemClock.now());
  if (refusal)
    throw new CellError({
      code: refusal === 'no_room' ? 'never_fits' : refusal,
      step: 'start-task',
      peer: worker,
    });
  return {status: 200, body: {accepted: true}};
};

const server = new HttpServer({
  address,
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_048_576,
    bodyMs: 5000,
    connections: 1000,
  },
  routes: [
    {method: 'POST', pattern: '/v1/tasks', handler: startTask},
    {
      method: 'GET',
      pattern: '/stats',
      handler: () => ({
        status: 200,
        body: {worker, overSize: core.overSize, runs: core.runs},
      }),
    },
  ],
  onRefusal: () => undefined,
});

setInterval(() => core.tick(systemClock.now()), TICK_MS);
process.on('SIGTERM', () => process.exit(0));
await server.listen();
void announcer.run();
