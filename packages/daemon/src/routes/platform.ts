/** Routes on the address for upstreams and workers. */
import {
  ownVm,
  upstreamAnnouncementSchema,
  workerAnnouncementSchema,
  type LeaderReply,
  type PeerMethod,
  type PeerMethods,
} from '@primrosewick/protocol';
import {CellError, type VmId} from '@primrosewick/state';
import type {
  HttpContext,
  HttpHandler,
  HttpReply,
  Route,
} from '@primrosewick/transport';
import type {RouteContext} from './context.js';

type LeaderMethod = 'announceUpstream' | 'announceWorker' | 'syncShares';

/** Routes on the address for upstreams and workers. */
export const platformRoutes = (
  context: RouteContext,
): Array<Route<HttpHandler>> => [
  {
    method: 'POST',
    pattern: '/v1/upstreams',
    handler: http => announceUpstream(context, http),
  },
  {
    method: 'POST',
    pattern: '/v1/workers',
    handler: http => announceWorker(context, http),
  },
];

const announceUpstream = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const report = await http.readJson(upstreamAnnouncementSchema);
  checkZone(context, report.zone);
  return {
    status: 200,
    body: await askLeader(context, 'announceUpstream', report, () =>
      context.zone.announceUpstream(report),
    ),
  };
};

const announceWorker = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const report = await http.readJson(workerAnnouncementSchema);
  checkZone(context, report.zone);
  return {
    status: 200,
    body: await askLeader(context, 'announceWorker', report, () =>
      context.zone.announceWorker(report),
    ),
  };
};

const checkZone = ({settings}: RouteContext, zone: string): void => {
  const own = ownVm(settings).zone;
  if (zone === own) return;
  throw new CellError({
    code: 'invalid_input',
    step: 'check-zone',
    detail: `this VM serves zone "${own}", not "${zone}"`,
  });
};

type Reply<M extends PeerMethod> = PeerMethods[M]['reply'];
type Value<M extends LeaderMethod> = Extract<Reply<M>, {kind: 'ok'}>['value'];

/**
 * Asks the zone's leader: here when this VM leads, else at the VM that does.
 * @throws CellError `no_zone_leader`.
 */
export const askLeader = async <M extends LeaderMethod>(
  context: Pick<RouteContext, 'authority' | 'peers' | 'settings'>,
  method: M,
  request: PeerMethods[M]['request'],
  here: () => LeaderReply<Value<M>>,
): Promise<Value<M>> => {
  const own = here();
  if (own.kind === 'ok') return own.value;
  let {leader} = own;
  for (
    let hop = 0;
    hop < MAX_HOPS && leader && leader !== context.settings.vm;
    hop++
  ) {
    const reply = (await context.peers.call(
      leader,
      method,
      request,
    )) as LeaderReply<Value<M>>;
    if (reply.kind === 'ok') return reply.value;
    leader = nextHop(leader, reply.leader);
  }
  throw new CellError({
    code: 'no_zone_leader',
    step: method,
    peer: leader ?? 'zone',
  });
};

const MAX_HOPS = 2;

const nextHop = (asked: VmId, hinted: VmId | null): VmId | null =>
  hinted === asked ? null : hinted;
