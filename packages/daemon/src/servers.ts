/** HTTP servers of a daemon, one for each kind of caller. */
import {CellError} from '@primrosewick/state';
import {
  HttpServer,
  PeerBudget,
  type HttpHandler,
  type Route,
} from '@primrosewick/transport';
import {clientRoutes} from './routes/client.js';
import type {RouteContext} from './routes/context.js';
import {operatorRoutes, tokenGuard} from './routes/operator.js';
import {platformRoutes} from './routes/platform.js';
import {readToken} from './token.js';

/**
 * Creates the servers for clients, for upstreams and workers, and for operators.
 * @throws CellError `invalid_input` when the operators' token cannot be read.
 */
export const makeServers = (context: RouteContext): HttpServer[] => {
  const {listen, operatorTokenFile} = context.settings;
  const guard = tokenGuard(readToken(operatorTokenFile));
  const {connections} = context.settings.limits;
  const maxFds = FDS_PER_CONNECTION * connections;
  const budget = new PeerBudget({memoryMb: MEMORY_MB, maxFds});
  const make = makeServer.bind(undefined, context, budget);
  return [
    make(listen.client, clientRoutes(context)),
    make(listen.platform, platformRoutes(context)),
    make(listen.operator, operatorRoutes(context), guard),
  ];
};

/** Memory that the budget for peers is derived from: a daemon forwards responses of 4 MB. */
const MEMORY_MB = 2048;
/** Three servers, and a quarter for all else. */
const FDS_PER_CONNECTION = 4;

const makeServer = (
  {settings, metrics}: RouteContext,
  budget: PeerBudget,
  address: string,
  routes: Array<Route<HttpHandler>>,
  guard?: ReturnType<typeof tokenGuard>,
): HttpServer => {
  const onRefusal = (err: CellError): void =>
    metrics.addRefusal(err.code, err.step);
  return new HttpServer({
    address,
    routes,
    guard,
    onRefusal,
    limits: settings.limits,
    budget,
  });
};
