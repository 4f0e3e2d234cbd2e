/** Routes of the HTTP server for operators. */
import {timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
  putProfileSchema,
  putServiceSchema,
  setQuotaSchema,
  setServiceStateSchema,
  type VmStatus,
} from '@primrosewick/protocol';
import {
  CellError,
  asId,
  type CoreName,
  type ProfileName,
  type ServiceName,
  type TimedNote,
  type VmId,
} from '@primrosewick/state';
import {journalPage} from '../peer_handlers.js';
import type {
  HttpContext,
  HttpHandler,
  HttpReply,
  Route,
} from '@primrosewick/transport';
import {
  checkName,
  commitWrite,
  readReply,
  type RouteContext,
} from './context.js';
import {collectNotes} from './explanation.js';
import {jobRoutes} from './jobs.js';

/** Paths that need no token. */
const OPEN_PATHS = new Set(['/healthz', '/readyz', '/metrics']);

/**
 * Creates the guard that checks the operators' token.
 * @param token - the token that requests must carry.
 */
export const tokenGuard =
  (token: string) =>
  (req: IncomingMessage, path: string): void => {
    if (OPEN_PATHS.has(path)) return;
    const given = Buffer.from(req.headers.authorization ?? '');
    const wanted = Buffer.from(`Bearer ${token}`);
    const isEqual =
      given.length === wanted.length && timingSafeEqual(given, wanted);
    if (!isEqual)
      throw new CellError({
        code: 'unauthorized',
        step: 'check-token',
        peer: 'operator',
      });
  };

/** Creates the routes for operators. */
export const operatorRoutes = (
  context: RouteContext,
): Array<Route<HttpHandler>> => [
  {
    method: 'GET',
    pattern: '/healthz',
    handler: () => ({status: 200, body: {status: 'alive'}}),
  },
  {method: 'GET', pattern: '/readyz', handler: () => readiness(context)},
  {method: 'GET', pattern: '/metrics', handler: () => metricsPage(context)},
  {method: 'GET', pattern: '/v1/status', handler: () => cellStatus(context)},
  {
    method: 'GET',
    pattern: '/v1/profiles',
    handler: () =>
      readReply(context, {profiles: stateOf(context).listProfiles()}),
  },
  {
    method: 'GET',
    pattern: '/v1/profiles/:name',
    handler: http => getProfile(context, http),
  },
  {
    method: 'GET',
    pattern: '/v1/profiles/:name/history',
    handler: http => getHistory(context, http),
  },
  {
    method: 'PUT',
    pattern: '/v1/profiles/:name',
    handler: http => putProfile(context, http),
  },
  {
    method: 'GET',
    pattern: '/v1/services',
    handler: () =>
      readReply(context, {services: stateOf(context).listServices()}),
  },
  {
    method: 'PUT',
    pattern: '/v1/services/:name',
    handler: http => putService(context, http),
  },
  {
    method: 'POST',
    pattern: '/v1/services/:name/state',
    handler: http => setServiceState(context, http),
  },
  {
    method: 'GET',
    pattern: '/v1/quotas',
    handler: () => readReply(context, {quotas: stateOf(context).listQuotas()}),
  },
  {
    method: 'PUT',
    pattern: '/v1/quotas/:team',
    handler: http => setQuota(context, http),
  },
  {
    method: 'GET',
    pattern: '/v1/explain/:subject',
    handler: http => explain(context, http),
  },
  {
    method: 'GET',
    pattern: '/v1/journal/:vm/:core',
    handler: http => journal(context, http),
  },
  ...jobRoutes(context),
];

/** Cores with a journal that operators can read. */
const CORES: readonly CoreName[] = ['requests', 'placement', 'shares'];

const explain = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const subject = http.params['subject'] ?? '';
  const {settings, peers, recorder} = context;
  const ask = async (vm: VmId): Promise<readonly TimedNote[]> => {
    if (vm === settings.vm) return recorder.explain(subject);
    return (await peers.call(vm, 'explain', {subject})).notes;
  };
  const vms = settings.vms.map(({vm}) => vm);
  return {status: 200, body: {subject, ...(await collectNotes(vms, ask))}};
};

const journal = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const core = CORES.find(name => name === http.params['core']);
  const vm = context.settings.vms.find(
    other => other.vm === http.params['vm'],
  )?.vm;
  if (!core || !vm)
    throw new CellError({code: 'unknown_path', step: 'read-journal'});
  const fromLine = Number(http.query.get('fromLine') ?? 0);
  const page =
    vm === context.settings.vm
      ? journalPage(context.recorder, core, fromLine)
      : await context.peers.call(vm, 'journal', {core, fromLine});
  return {status: 200, body: page};
};

const stateOf = (context: RouteContext) => context.replica.replica.state;

const readiness = (context: RouteContext): HttpReply => {
  const step = 'readiness';
  if (context.isStopping()) throw new CellError({code: 'stopping', step});
  if (!context.replica.isReady) throw new CellError({code: 'starting', step});
  const failure = context.consensus()?.logStatus.failure;
  if (failure)
    throw new CellError({code: 'storage_failed', step, detail: failure});
  return {status: 200, body: {status: 'ready'}};
};

const metricsPage = async (context: RouteContext): Promise<HttpReply> => {
  const {metrics, entry, replica} = context;
  metrics.setGauge(
    'requests_queued',
    'Requests that wait for a slot.',
    entry.queued,
  );
  metrics.setGauge(
    'requests_open',
    'Requests held, waiting or running.',
    entry.open,
  );
  metrics.setGauge(
    'applied_index',
    'Index of the cell log that is in force here.',
    replica.replica.index,
  );
  const text = Buffer.from(await metrics.render());
  return {
    status: 200,
    headers: {'content-type': 'text/plain; version=0.0.4'},
    body: text,
  };
};

const cellStatus = async (context: RouteContext): Promise<HttpReply> => {
  const {settings, peers, holder} = context;
  const ask = async (
    vm: (typeof settings.vms)[number],
  ): Promise<VmStatus | {vm: string; zone: string; error: unknown}> => {
    if (vm.vm === settings.vm) return context.ownStatus();
    try {
      return await peers.call(vm.vm, 'status', {boot: holder});
    } catch (err) {
      return {
        vm: vm.vm,
        zone: vm.zone,
        error: err instanceof CellError ? err.toBody() : String(err),
      };
    }
  };
  const vms = await Promise.all(settings.vms.map(ask));
  return {status: 200, body: {cell: settings.cell, asked: settings.vm, vms}};
};

const getProfile = (context: RouteContext, http: HttpContext): HttpReply => {
  const name = asId<ProfileName>(http.params['name'] ?? '');
  const revision = stateOf(context).getProfile(name);
  if (!revision)
    throw new CellError({
      code: 'unknown_profile',
      step: 'get-profile',
      detail: `no profile "${name}"`,
    });
  return readReply(context, {...revision});
};

const getHistory = (context: RouteContext, http: HttpContext): HttpReply => {
  const name = asId<ProfileName>(http.params['name'] ?? '');
  const revisions = stateOf(context).getHistory(name);
  if (revisions.length === 0)
    throw new CellError({
      code: 'unknown_profile',
      step: 'get-history',
      detail: `no profile "${name}"`,
    });
  return readReply(context, {revisions});
};

const putProfile = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const {write, baseRevision, profile} = await http.readJson(putProfileSchema);
  checkName(http.params['name'], profile.name);
  return commitWrite(context, write, {
    kind: 'put_profile',
    profile,
    baseRevision,
  });
};

const putService = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const {write, baseRevision, service} = await http.readJson(putServiceSchema);
  checkName(http.params['name'], service.name);
  return commitWrite(context, write, {
    kind: 'put_service',
    service,
    baseRevision,
  });
};

const setServiceState = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const {write, state} = await http.readJson(setServiceStateSchema);
  const service = asId<ServiceName>(http.params['name'] ?? '');
  return commitWrite(context, write, {
    kind: 'set_service_state',
    service,
    state,
  });
};

const setQuota = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const {write, team, cpuMillis} = await http.readJson(setQuotaSchema);
  checkName(http.params['team'], team);
  return commitWrite(context, write, {kind: 'set_quota', team, cpuMillis});
};
