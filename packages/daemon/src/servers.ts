/** HTTP servers of a daemon, one for each kind of caller. */
import {CellError} from '@primrosewick/state';
import {
  HttpServer,
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
  return [
    makeServer(context, listen.client, clientRoutes(context)),
    makeServer(context, listen.platform, platformRoutes(context)),
    makeServer(context, listen.operator, operatorRoutes(context), guard),
  ];
};

const makeServer = (
  {settings, metrics}: RouteContext,
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
  });
};
