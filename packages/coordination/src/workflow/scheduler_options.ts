/** What a leadership over the workers needs. */
import type Logger from 'bunyan';
import type {WorkflowCommand, WorkflowResult} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {Recorder} from '../zone/types.js';
import type {AdviceDispatcherOptions} from './advice_dispatcher.js';
import type {OrderPort} from './ports.js';
import type {EndedWait} from './queue_load.js';
import type {WorkflowReplica} from './replica.js';

/** Bounds that the workers' platform states. */
export interface WorkerLimits {
  /** Longest lease that a worker takes, in ms. */
  readonly maxLeaseMs: number;
  /** Interval of the workers' announcements, in ms. */
  readonly announceMs: number;
}

/** Options of one leadership. */
export interface SchedulerOptions {
  readonly replica: WorkflowReplica;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly orders: OrderPort;
  readonly workerLimits: WorkerLimits;
  /** Term of the log that this VM leads. */
  readonly term: number;
  /** Longest time that an earlier leader may go on unaware, in ms. */
  readonly maxStaleLeaderMs: number;
  /** Time since a majority last proved that this VM leads, in ms. */
  readonly leadershipConfirmedAgeMs: () => number;
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
  readonly callers: AdviceDispatcherOptions['callers'];
  readonly ask: AdviceDispatcherOptions['ask'];
  /** Called for each wait of a step that is over. */
  readonly onWaited?: (wait: EndedWait) => void;
  /** Keeps the planner's journal; none is kept without it. */
  readonly recorder?: Recorder;
}
