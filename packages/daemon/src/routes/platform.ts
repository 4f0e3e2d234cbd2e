/** Routes of the HTTP server for upstreams and workers. */
import {
  ownVm,
  upstreamAnnouncementSchema,
  workerAnnouncementSchema,
} from '@primrosewick/protocol';
import {CellError} from '@primrosewick/state';
import type {
  HttpContext,
  HttpHandler,
  HttpReply,
  Route,
} from '@primrosewick/transport';
import {leaderOf, type RouteContext} from './context.js';

/** Creates the routes for upstreams and workers. */
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
    body: await leaderOf(context, report.zone).announceUpstream(report),
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
    body: await leaderOf(context, report.zone).announceWorker(report),
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
