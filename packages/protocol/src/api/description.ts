/**
 * OpenAPI 3.1 description of the HTTP APIs, generated from the schemas that
 * validate them.
 */
import {REASONS, REASON_CODES} from '@primrosewick/state';
import {z} from 'zod';
import {
  cancelJobSchema,
  putProfileSchema,
  putServiceSchema,
  setQuotaSchema,
  setServiceStateSchema,
  submitJobSchema,
} from './admin.js';
import {
  startOrderSchema,
  upstreamAnnouncementSchema,
  workerAnnouncementSchema,
  workerOrdersSchema,
} from './platform.js';

/** One operation of an HTTP API. */
interface Operation {
  readonly method: 'get' | 'put' | 'post' | 'delete';
  readonly path: string;
  /** Who serves it: a listen address of the daemon, an upstream or a worker. */
  readonly interface:
    'client' | 'platform' | 'operator' | 'upstream' | 'worker';
  readonly summary: string;
  readonly body?: z.ZodType;
  readonly answer?: z.ZodType;
}

/** All operations; add new ones here. */
const OPERATIONS: readonly Operation[] = [
  {
    method: 'get',
    path: '/v1/services/{service}/requests/{path}',
    interface: 'client',
    summary: 'Any method: forwards a request to an upstream of the service.',
  },
  {
    method: 'post',
    path: '/v1/jobs',
    interface: 'client',
    summary: 'Submits a job.',
    body: submitJobSchema,
  },
  {
    method: 'get',
    path: '/v1/jobs',
    interface: 'client',
    summary: 'Lists jobs; `state` filters by state.',
  },
  {
    method: 'get',
    path: '/v1/jobs/{id}',
    interface: 'client',
    summary: 'Shows a job; `waitMs` is how long to wait for its end.',
  },
  {
    method: 'post',
    path: '/v1/jobs/{id}/cancel',
    interface: 'client',
    summary: 'Cancels a job.',
    body: cancelJobSchema,
  },
  {
    method: 'post',
    path: '/v1/upstreams',
    interface: 'platform',
    summary: 'Announces an upstream, about once a second.',
    body: upstreamAnnouncementSchema,
  },
  {
    method: 'post',
    path: '/v1/workers',
    interface: 'platform',
    summary: 'Announces a worker, about once a second.',
    body: workerAnnouncementSchema,
    answer: workerOrdersSchema,
  },
  {
    method: 'get',
    path: '/v1/status',
    interface: 'operator',
    summary: 'Shows all VMs.',
  },
  {
    method: 'get',
    path: '/v1/profiles',
    interface: 'operator',
    summary: 'Lists the profiles.',
  },
  {
    method: 'get',
    path: '/v1/profiles/{name}',
    interface: 'operator',
    summary: 'Shows the latest revision.',
  },
  {
    method: 'put',
    path: '/v1/profiles/{name}',
    interface: 'operator',
    summary: 'Writes a revision by compare-and-set.',
    body: putProfileSchema,
  },
  {
    method: 'get',
    path: '/v1/profiles/{name}/history',
    interface: 'operator',
    summary: 'Lists the retained revisions.',
  },
  {
    method: 'get',
    path: '/v1/services',
    interface: 'operator',
    summary: 'Lists the services.',
  },
  {
    method: 'put',
    path: '/v1/services/{name}',
    interface: 'operator',
    summary: 'Creates a service or changes its profile.',
    body: putServiceSchema,
  },
  {
    method: 'post',
    path: '/v1/services/{name}/state',
    interface: 'operator',
    summary: 'Starts, drains or stops a service.',
    body: setServiceStateSchema,
  },
  {
    method: 'get',
    path: '/v1/quotas',
    interface: 'operator',
    summary: 'Lists the quotas.',
  },
  {
    method: 'put',
    path: '/v1/quotas/{team}',
    interface: 'operator',
    summary: 'Sets the quota of a team.',
    body: setQuotaSchema,
  },
  {
    method: 'get',
    path: '/v1/explain/{subject}',
    interface: 'operator',
    summary: 'Explains the decisions about a request, job, task or worker.',
  },
  {
    method: 'get',
    path: '/v1/journal/{vm}/{core}',
    interface: 'operator',
    summary: 'Reads the journal of one core of one VM.',
  },
  {
    method: 'get',
    path: '/metrics',
    interface: 'operator',
    summary: 'Metrics in the Prometheus text format; needs no token.',
  },
  {
    method: 'get',
    path: '/healthz',
    interface: 'operator',
    summary: 'Liveness check of the process; needs no token.',
  },
  {
    method: 'get',
    path: '/readyz',
    interface: 'operator',
    summary: 'Readiness check of the VM; needs no token.',
  },
  {
    method: 'delete',
    path: '/.primrosewick/attempts/{attempt}',
    interface: 'upstream',
    summary:
      'Served by an upstream: cancels an attempt, even one that has not arrived yet; 204 once no part of it is running.',
  },
  {
    method: 'post',
    path: '/v1/tasks',
    interface: 'worker',
    summary: 'Served by a worker: starts a task.',
    body: startOrderSchema,
  },
];

const jsonContent = (schema: z.ZodType): unknown => ({
  content: {
    'application/json': {
      schema: z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}),
    },
  },
});

const describeOperation = (operation: Operation): Record<string, unknown> => ({
  tags: [operation.interface],
  summary: operation.summary,
  ...(operation.body
    ? {
        requestBody: {
          required: true,
          ...(jsonContent(operation.body) as object),
        },
      }
    : {}),
  responses: {
    '200': {
      description: 'Success.',
      ...(operation.answer ? (jsonContent(operation.answer) as object) : {}),
    },
    default: {$ref: '#/components/responses/Refusal'},
  },
});

const describePaths = (): Record<string, Record<string, unknown>> => {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const operation of OPERATIONS) {
    paths[operation.path] = {
      ...paths[operation.path],
      [operation.method]: describeOperation(operation),
    };
  }
  return paths;
};

/** The OpenAPI document as a plain object. */
export const openApiDocument = (): unknown => ({
  openapi: '3.1.0',
  info: {
    title: 'primrosewick',
    version: '1',
    description:
      'HTTP APIs of a cell. Every error response has the shape of `Refusal`.',
  },
  paths: describePaths(),
  components: {
    responses: {
      Refusal: {
        description: 'The request was refused, for the given reason.',
        content: {
          'application/json': {
            schema: {
              type: 'object',
              properties: {
                error: {
                  type: 'object',
                  properties: {
                    code: {enum: REASON_CODES},
                    outcome: {enum: ['not_run', 'unknown']},
                    step: {type: 'string'},
                    peer: {type: 'string'},
                    message: {type: 'string'},
                    retryAfterMs: {type: 'integer'},
                  },
                },
              },
            },
          },
        },
      },
    },
  },
});

/** Reference page of the reason codes, in Markdown. */
export const reasonsPage = (): string => {
  const rows = REASON_CODES.map(code => {
    const {status, outcome, retryAfterMs, meaning} = REASONS[code];
    return `| \`${code}\` | ${status} | ${outcome} | ${retryAfterMs || 'never'} | ${meaning} |`;
  });
  return [
    '# Reason codes',
    '',
    'This page is generated from the table of reasons by `npm run docs`. Each code',
    'is sent to callers and is the label `code` of `primrosewick_refusals_total`.',
    'The outcome states whether the work may have run; a response may state `unknown`',
    'instead, where more is known about that request than its code implies.',
    '',
    '| code | status | outcome | retry after, ms | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
};
