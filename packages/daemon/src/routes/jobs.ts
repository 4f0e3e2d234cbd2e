/** Routes for jobs, on the HTTP servers for clients and for operators. */
import {
  cancelJobSchema,
  ownVm,
  submitJobSchema,
  zonesOf,
} from '@primrosewick/protocol';
import {
  CellError,
  asId,
  describeSize,
  type JobId,
  type JobRecord,
  type JobSpec,
  type ZoneId,
} from '@primrosewick/state';
import {
  sleep,
  type HttpContext,
  type HttpHandler,
  type HttpReply,
  type Route,
} from '@primrosewick/transport';
import {
  commitWrite,
  leaderOf,
  readReply,
  type RouteContext,
} from './context.js';

const MAX_WAIT_MS = 30_000;
const WAIT_STEP_MS = 50;
const MAX_LISTED_JOBS = 1000;

/** Creates the routes for jobs. */
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
  const homeZone = await findHomeZone(context, spec);
  return commitWrite(context, write, {kind: 'submit_job', spec, homeZone});
};

/**
 * Chooses the home zone of a job: the own zone, unless only another zone could ever hold the job.
 * @throws CellError `never_fits` when every zone has answered that it could not.
 */
const findHomeZone = async (
  context: RouteContext,
  spec: JobSpec,
): Promise<ZoneId> => {
  const own = ownVm(context.settings).zone;
  if ((await askZone(context, own, spec)) !== 'no') return own;
  const others = zonesOf(context.settings).filter(zone => zone !== own);
  const verdicts = await Promise.all(
    others.map(zone => askZone(context, zone, spec)),
  );
  const able = others.find((_zone, i) => verdicts[i] === 'yes');
  if (able) return able;
  if (verdicts.includes('unknown')) return own;
  const {size, taskCount, gang} = spec;
  const what = gang ? `${taskCount} tasks at once` : 'a task';
  throw new CellError({
    code: 'never_fits',
    step: 'find-zone',
    detail: `no zone has workers that can hold ${what} of ${describeSize(size)}`,
  });
};

const askZone = async (
  context: RouteContext,
  zone: ZoneId,
  spec: JobSpec,
): Promise<'yes' | 'no' | 'unknown'> => {
  const {size, taskCount, gang} = spec;
  try {
    return (await leaderOf(context, zone).canHold({size, taskCount, gang}))
      .verdict;
  } catch {
    return 'unknown';
  }
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
      http.signal.aborted ||
      context.isStopping();
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
    detail: `waitMs must be an integer from 0 to ${MAX_WAIT_MS}`,
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
