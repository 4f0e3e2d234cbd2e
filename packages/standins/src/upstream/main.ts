/**
 * Stand-in for an upstream: announces itself, serves requests, and counts how
 * many run at once. `GET /stats` returns the counters.
 */
import {randomBytes} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {asId, type HolderId} from '@primrosewick/state';
import {sleep, splitAddress} from '@primrosewick/transport';
import {Announcer} from '../utils/announcer.js';
import {readArgs, requireArg} from '../utils/args.js';
import {UpstreamCore} from './core.js';

const ANNOUNCE_MS = 500;
const DEFAULT_SERVICE_MS = 5;
const LEAVE_DELAY_MS = 1500;

const args = readArgs(process.argv.slice(2));
const address = requireArg(args, 'address');
const upstream = `${requireArg(args, 'name')}-${randomBytes(3).toString('hex')}`;
const core = new UpstreamCore(Number(args.get('slots') ?? 8));

const announcer = new Announcer<unknown>({
  entries: requireArg(args, 'entries').split(','),
  path: '/v1/upstreams',
  periodMs: ANNOUNCE_MS,
  nextAnnouncement: () => ({
    upstream,
    service: requireArg(args, 'service'),
    zone: requireArg(args, 'zone'),
    address,
    slots: core.slots,
    connections: Number(args.get('connections') ?? 60),
    state: core.isLeaving ? 'leaving' : 'serving',
    seq: core.nextSeq(),
    inFlight: core.inFlight(),
  }),
  onReply: () => undefined,
});

const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

const reply = (
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void => {
  res.writeHead(status, {'content-type': 'application/json', ...headers});
  res.end(JSON.stringify(body));
};

const serve = async (
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> => {
  const url = new URL(req.url ?? '/', 'http://local');
  if (url.pathname === '/stats')
    return reply(res, 200, {upstream, ...core.counts()});
  if (url.pathname.startsWith('/.primrosewick/attempts/'))
    return endAttempt(url, res);
  const expectedUpstream = req.headers['primrosewick-upstream'];
  if (expectedUpstream !== upstream) {
    return refuse(res);
  }
  await serveAttempt(req, res, url);
};

const refuse = (res: ServerResponse): void => {
  core.countRefusal();
  reply(res, 503, {error: 'not taken'}, {'primrosewick-not-taken': 'true'});
};

const endAttempt = (url: URL, res: ServerResponse): void => {
  core.abort(decodeURIComponent(url.pathname.split('/').at(-1) ?? ''));
  res.writeHead(204).end();
};

const serveAttempt = async (
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
): Promise<void> => {
  const attempt = String(req.headers['primrosewick-attempt']);
  const holder = asId<HolderId>(String(req.headers['primrosewick-holder']));
  const mayRun = core.begin({attempt, holder, abort: () => res.destroy()});
  if (!mayRun) return refuse(res);
  try {
    const body = await readBody(req);
    await sleep(Number(url.searchParams.get('ms') ?? DEFAULT_SERVICE_MS));
    if (!res.destroyed)
      reply(res, 200, {
        upstream,
        method: req.method,
        path: url.pathname,
        id: url.searchParams.get('id'),
        bytes: body.length,
      });
  } finally {
    core.end(attempt);
  }
};

const server = createServer((req, res) => void serve(req, res));

/**
 * Graceful shutdown: announces that the upstream is leaving, waits for the
 * requests in flight, then exits.
 */
const leave = async (): Promise<void> => {
  core.isLeaving = true;
  await announcer.announce();
  await sleep(LEAVE_DELAY_MS);
  while (core.size > 0) await sleep(20);
  announcer.stop();
  server.close();
  server.closeAllConnections();
  process.exit(0);
};

process.on('SIGTERM', () => void leave());
server.listen(splitAddress(address), () => void announcer.run());
