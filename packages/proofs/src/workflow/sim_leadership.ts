/** One leadership of a simulated cell: its scheduler and its service. */
import {
  SchedulerTask,
  type JournalRecorder,
  type OrderPort,
  type WorkflowReplica,
  type WorkflowService,
} from '@primrosewick/coordination';
import type {VmId, WorkflowCommand, WorkflowResult} from '@primrosewick/state';
import type Logger from 'bunyan';
import type {VirtualClock} from '../world/process.js';
import {makeLeaderService} from './leader_service.js';
import type {SimAdviser} from './sim_adviser.js';

/** Interval at which workers announce themselves, in ms. */
export const ANNOUNCE_MS = 1000;
const MAX_STALE_LEADER_MS = 1400;
/** Time after which an unaware old leader learns that another leads, in ms. */
export const AWARE_AFTER_MS = 4 * MAX_STALE_LEADER_MS;

/** One leadership; the log accepts proposals of the latest term only. */
export interface Leadership {
  readonly term: number;
  /** When a majority last confirmed it; not set while it leads. */
  lastConfirmedAt?: number;
  readonly scheduler: SchedulerTask;
  readonly service: WorkflowService;
}

/** Options of a leadership. */
export interface LeadershipOptions {
  readonly term: number;
  readonly replica: WorkflowReplica;
  readonly clock: VirtualClock;
  readonly logger: Logger;
  readonly orders: OrderPort;
  readonly adviser: SimAdviser;
  readonly recorder: JournalRecorder;
  /** Longest lease that workers accept, in ms. */
  readonly maxLeaseMs: number;
  readonly isLeading: () => boolean;
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
}

/** Makes a leadership and starts its scheduler. */
export const beginLeadership = ({
  adviser,
  maxLeaseMs,
  isLeading,
  ...options
}: LeadershipOptions): Leadership => {
  const {term, clock} = options;
  const scheduler = new SchedulerTask({
    ...options,
    workerLimits: {maxLeaseMs, announceMs: ANNOUNCE_MS},
    maxStaleLeaderMs: MAX_STALE_LEADER_MS,
    leadershipConfirmedAgeMs: () =>
      clock.now() - (leadership.lastConfirmedAt ?? clock.now()),
    callers: () => ['vm' as VmId],
    ask: (_vm, step, workers) => adviser.ask(step, workers),
  });
  const service = makeLeaderService({...options, scheduler, isLeading});
  const leadership: Leadership = {term, scheduler, service};
  scheduler.start();
  return leadership;
};
