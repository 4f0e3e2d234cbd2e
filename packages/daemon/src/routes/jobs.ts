/** Routes for jobs, on the addresses for clients and for operators. */
import {cancelJobSchema, ownVm, submitJobSchema} from '@primrosewick/protocol';
import {CellError, asId, type JobId, type JobRecord} from '@primrosewick/state';
import {
  sleep,
  type HttpContext,
  type HttpHandler,
  type HttpReply,
  type Route,
} from '@primrosewick/transport';
import {commitWrite, readReply, type RouteContext} from './context.js';

const MAX_WAIT_MS = 30_000;
const WAIT_STEP_MS = 50;
const MAX_LISTED_JOBS = 1000;

/** Routes for jobs. */
export const jobRoutes = (context: RouteContext): Array<Route<HttpHandler>> => [
  {method: 'POST', pattern: '/v1/jobs', handler: http => submit(context, http)},
  {method: 'GET', pattern: '/v1/jobs', handler: http => list(context, http)},
  {method: 'GET', pattern: '/v1/jobs/:id', handler: http => get(context, http)},
  {
    method: 'POST',
    pattern: '/v1/jobs/:id/cancel',
    handler: http => cancel(context, http),
  },
];

const submit = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const {write, spec} = await http.readJson(submitJobSchema);
  const homeZone = ownVm(context.settings).zone;
  return commitWrite(context, write, {kind: 'submit_job', spec, homeZone});
};

const cancel = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const {write} = await http.readJson(cancelJobSchema);
  return commitWrite(context, write, {kind: 'cancel_job', job: jobId(http)});
};

const get = async (
  context: RouteContext,
  http: HttpContext,
): Promise<HttpReply> => {
  const deadline = context.clock.now() + waitOf(http);
  for (;;) {
    const job = findJob(context, jobId(http));
    const isOver =
      job.state === 'done' ||
      context.clock.now() >= deadline ||
      http.signal.aborted;
    if (isOver) return readReply(context, {job: viewOf(job)});
    await sleep(WAIT_STEP_MS);
  }
};

const list = (context: RouteContext, http: HttpContext): HttpReply => {
  const state = http.query.get('state');
  const jobs = context.replica.replica.state
    .listJobs()
    .filter(job => state === null || job.state === state);
  return readReply(context, {
    total: jobs.length,
    jobs: jobs.slice(-MAX_LISTED_JOBS).map(viewOf),
  });
};

const jobId = (http: HttpContext): JobId =>
  asId<JobId>(http.params['id'] ?? '');

const findJob = (context: RouteContext, id: JobId): JobRecord => {
  const job = context.replica.replica.state.getJob(id);
  if (job) return job;
  throw new CellError({
    code: 'unknown_job',
    step: 'find-job',
    detail: `no job "${id}"`,
  });
};

const waitOf = (http: HttpContext): number => {
  const waitMs = Number(http.query.get('waitMs') ?? 0);
  const isSound =
    Number.isInteger(waitMs) && waitMs >= 0 && waitMs <= MAX_WAIT_MS;
  if (isSound) return waitMs;
  throw new CellError({
    code: 'invalid_input',
    step: 'check-query',
    peer: 'client',
    detail: `waitMs must lie between 0 and ${MAX_WAIT_MS}`,
  });
};

const viewOf = (job: JobRecord) => ({
  id: job.id,
  state: job.state,
  team: job.spec.team,
  profile: job.spec.profile,
  homeZone: job.homeZone,
  acceptedAt: job.acceptedAt,
  taskCount: job.spec.taskCount,
  ended: job.ended,
  outcomes: countOutcomes(job),
});

const countOutcomes = (job: JobRecord): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const {outcome} of job.ended)
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  return counts;
};
