/** Options of the scheduler task. */
import type Logger from 'bunyan';
import type {
  WorkflowCommand,
  WorkflowEnd,
  WorkflowResult,
  SpeedSpread,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {Recorder} from '../zone/types.js';
import type {AdviceDispatcherOptions} from './advice_dispatcher.js';
import type {InterferenceCounts} from './interference_log.js';
import type {LifeLogOptions} from './life_log.js';
import type {OrderPort} from './ports.js';
import type {EndedWait} from './queue_load.js';
import type {WorkflowReplica} from './replica.js';

/** Limits given by the workers' platform. */
export interface WorkerLimits {
  /** Longest lease that a worker accepts, in ms. */
  readonly maxLeaseMs: number;
  /** Interval of the workers' announcements, in ms. */
  readonly announceMs: number;
}

/** Options of a `SchedulerTask`. */
export interface SchedulerOptions {
  readonly replica: WorkflowReplica;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly orders: OrderPort;
  readonly workerLimits: WorkerLimits;
  /** Term of the log in which this VM leads. */
  readonly term: number;
  /** Longest time for which a deposed leader may act before it notices, in ms. */
  readonly maxStaleLeaderMs: number;
  /** Time since a majority last confirmed that this VM leads, in ms. */
  readonly leadershipConfirmedAgeMs: () => number;
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
  readonly callers: AdviceDispatcherOptions['callers'];
  readonly ask: AdviceDispatcherOptions['ask'];
  /** Whether useless work is deferred in a bundle without customers. */
  readonly mayDeferUseless?: boolean;
  /** Whether zones take turns where a pool is full. */
  readonly mayShareZones?: boolean;
  /** Whether later attempts avoid workers where the task failed. */
  readonly mayAvoidFailed?: boolean;
  /** Called for each wait of a step that has ended. */
  readonly onWaited?: (wait: EndedWait) => void;
  /** Called at intervals with the spread of the learned speeds. */
  readonly onSpeeds?: (spread: SpeedSpread) => void;
  /** Called at intervals with the pairs of kinds that slow each other down. */
  readonly onInterference?: (counts: InterferenceCounts) => void;
  /** Called for each workflow that has ended. */
  readonly onEnded?: (end: WorkflowEnd) => void;
  /** Called with the number of runs that a record of this leader gives up. */
  readonly onGivenUp?: LifeLogOptions['onGivenUp'];
  /** Records the planner's journal; without it, no journal is kept. */
  readonly recorder?: Recorder;
}
