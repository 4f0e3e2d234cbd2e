/**
 * Table of all reasons for a refusal, a retry or a dropped message. The keys
 * are the codes that callers see and the labels of the counters.
 */

/** Whether the work of a refused request may have run. */
export type Outcome = 'not_run' | 'unknown';

/** HTTP answer for one reason. */
export interface ReasonInfo {
  /** HTTP status code. */
  readonly status: number;
  /** `unknown` if the work may have run. */
  readonly outcome: Outcome;
  /** Delay after which the client may retry, in milliseconds; 0 for never. */
  readonly retryAfterMs: number;
  /** Description for the operators' page, in one sentence. */
  readonly meaning: string;
}

const reason = (
  status: number,
  outcome: Outcome,
  retryAfterMs: number,
  meaning: string,
): ReasonInfo => ({status, outcome, retryAfterMs, meaning});

/** All reasons, by code. */
export const REASONS = {
  malformed_json: reason(400, 'not_run', 0, 'The body is not valid JSON.'),
  invalid_input: reason(
    400,
    'not_run',
    0,
    'A field is missing or out of range.',
  ),
  unknown_path: reason(404, 'not_run', 0, 'No resource has this path.'),
  method_not_allowed: reason(405, 'not_run', 0, 'The path has no such method.'),
  unauthorized: reason(
    401,
    'not_run',
    0,
    'The operator token is missing or wrong.',
  ),
  headers_too_large: reason(431, 'not_run', 0, 'The header exceeds its limit.'),
  body_too_large: reason(413, 'not_run', 0, 'The body exceeds its limit.'),
  slow_sender: reason(408, 'not_run', 0, 'The body did not arrive in time.'),
  too_many_requests: reason(
    503,
    'not_run',
    1000,
    'The VM holds as many requests as it may.',
  ),
  unknown_service: reason(404, 'not_run', 0, 'No service has this name.'),
  unknown_profile: reason(404, 'not_run', 0, 'No profile has this name.'),
  unknown_job: reason(404, 'not_run', 0, 'No job has this id.'),
  unknown_class: reason(400, 'not_run', 0, 'The profile has no such class.'),
  service_not_running: reason(
    503,
    'not_run',
    5000,
    'The service is draining or stopped.',
  ),
  deadline_passed: reason(
    504,
    'not_run',
    0,
    'The deadline had passed on arrival.',
  ),
  deadline_unreachable: reason(
    503,
    'not_run',
    1000,
    'The queue cannot reach the request before its deadline.',
  ),
  queue_full: reason(503, 'not_run', 1000, 'The queue of the class is full.'),
  no_capacity: reason(
    503,
    'not_run',
    1000,
    'No upstream of the service is known.',
  ),
  upstream_unreachable: reason(
    503,
    'not_run',
    1000,
    'No connection to an upstream could be made.',
  ),
  upstream_lost: reason(
    502,
    'unknown',
    0,
    'The upstream broke off after the request was sent.',
  ),
  upstream_timeout: reason(
    504,
    'unknown',
    0,
    'The upstream did not answer before the deadline.',
  ),
  answer_too_large: reason(
    502,
    'unknown',
    0,
    'The answer of the upstream exceeds its limit.',
  ),
  client_gone: reason(499, 'unknown', 0, 'The client closed its connection.'),
  key_reused: reason(
    422,
    'not_run',
    0,
    'The idempotency key belongs to another request.',
  ),
  key_in_progress: reason(
    409,
    'unknown',
    1000,
    'The request with this idempotency key is still running.',
  ),
  key_lost: reason(
    502,
    'unknown',
    0,
    'The request with this idempotency key may have run; its answer is not kept.',
  ),
  key_expired: reason(
    409,
    'unknown',
    0,
    'The idempotency key is older than the records kept.',
  ),
  log_unavailable: reason(
    503,
    'not_run',
    2000,
    'The cell log has no reachable leader.',
  ),
  log_outcome_unknown: reason(
    504,
    'unknown',
    1000,
    'The cell log did not confirm in time; resend with the same request id.',
  ),
  worker_unsure: reason(
    503,
    'not_run',
    1000,
    'Runs may still go on at the worker, or at the one that had its id before.',
  ),
  backlog: reason(
    429,
    'not_run',
    1000,
    'Queued work would delay this work until it is no longer useful.',
  ),
  cap_exceeded: reason(
    429,
    'not_run',
    5000,
    'A task or gang needs more at once than the cap of its customer allows.',
  ),
  over_rate: reason(
    429,
    'not_run',
    5000,
    'The customer is beyond its rate, and not all work can be done in time.',
  ),
  leader_late: reason(
    503,
    'not_run',
    1000,
    'The leader lags behind the work it has accepted; it accepts no new work until it has caught up.',
  ),
  cancelled_before: reason(
    410,
    'not_run',
    0,
    'The id was cancelled before this submission of it arrived.',
  ),
  too_many_cancellations: reason(
    503,
    'not_run',
    5000,
    'The caller has cancelled too many ids that no workflow has.',
  ),
  log_overloaded: reason(
    503,
    'not_run',
    1000,
    'Too many proposals wait for the cell log.',
  ),
  revision_conflict: reason(
    409,
    'not_run',
    0,
    'Another revision was accepted first.',
  ),
  request_id_expired: reason(
    409,
    'unknown',
    0,
    'The request id is older than the records kept.',
  ),
  request_id_reused: reason(
    422,
    'not_run',
    0,
    'The request id belongs to another write.',
  ),
  profile_in_use: reason(
    409,
    'not_run',
    0,
    'A service or job runs under the profile.',
  ),
  never_fits: reason(
    422,
    'not_run',
    0,
    'No worker of the cell could ever hold the task.',
  ),
  quota_exceeded: reason(
    429,
    'not_run',
    5000,
    'The team has used up its quota.',
  ),
  too_many_jobs: reason(
    503,
    'not_run',
    5000,
    'The cell holds as many open jobs as it may.',
  ),
  not_leader: reason(
    421,
    'not_run',
    200,
    'The VM is not the leader that the request requires.',
  ),
  no_zone_leader: reason(
    503,
    'not_run',
    1000,
    'The zone has no leader at present.',
  ),
  stale_epoch: reason(
    409,
    'not_run',
    0,
    'The sender belongs to an older epoch.',
  ),
  lease_lapsed: reason(
    409,
    'not_run',
    0,
    'The lease of the sender has expired.',
  ),
  other_worker: reason(
    421,
    'unknown',
    0,
    'The order is meant for an earlier process at this address, which may have accepted it.',
  ),
  wrong_cell: reason(403, 'not_run', 0, 'The peer belongs to another cell.'),
  wrong_identity: reason(
    409,
    'not_run',
    0,
    'The message was meant for another data folder.',
  ),
  starting: reason(
    503,
    'not_run',
    1000,
    'The VM has no current configuration yet.',
  ),
  stopping: reason(503, 'not_run', 1000, 'The VM is shutting down.'),
  peer_unreachable: reason(503, 'not_run', 500, 'A peer could not be reached.'),
  peer_timeout: reason(
    504,
    'unknown',
    500,
    'A peer did not answer before the deadline.',
  ),
  storage_failed: reason(
    503,
    'not_run',
    0,
    'The data folder refused a write or a sync.',
  ),
  storage_damaged: reason(
    500,
    'not_run',
    0,
    'A record within the data folder is damaged.',
  ),
  folder_locked: reason(
    500,
    'not_run',
    0,
    'Another process uses the data folder.',
  ),
  internal: reason(500, 'unknown', 0, 'A defect of the daemon; see its log.'),
} as const satisfies Record<string, ReasonInfo>;

/** Code of a reason. */
export type ReasonCode = keyof typeof REASONS;

/** All reason codes, for counters and schemas. */
export const REASON_CODES = Object.keys(REASONS) as [
  ReasonCode,
  ...ReasonCode[],
];

/** Whether a text is a known reason code. */
export const isReasonCode = (text: string): text is ReasonCode =>
  Object.hasOwn(REASONS, text);
