/** Options of the channel to a worker. */
import type Logger from 'bunyan';
import type {
  CrashEvidence,
  TaskRef,
  WorkerIncarnation,
  WorkflowCommand,
  WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {LifeLogOptions} from './life_log.js';
import type {OrderFailure, OrderPort} from './ports.js';
import type {StopRequest} from './stop_ledger.js';

/** Options of a `WorkerChannel`. */
export interface WorkerChannelOptions extends Pick<
  LifeLogOptions,
  'onGivenUp'
> {
  readonly life: WorkerIncarnation;
  readonly db: WorkflowDb;
  readonly port: OrderPort;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Term of the leadership; fences of later terms are higher. */
  readonly term: number;
  /**
   * Number of its first fence within the term, 0 by default: above those of the
   * incarnation before, whose orders the worker may otherwise still execute.
   */
  readonly firstFence?: number;
  /** Duration of the lease that each hold and start grants, in ms. */
  readonly leaseMs: number;
  /** Longest lease that an earlier leader may have granted, in ms. */
  readonly maxGrantedMs: number;
  /** Monotonic time until which an earlier leader may have extended leases, in ms. */
  readonly previousLeaderUntil: number;
  /** Whether this VM certainly still leads, so that no later leader may assume its silence. */
  readonly mayOrder: () => boolean;
  /** Proposes a record; @returns whether it is confirmed to be in the log. */
  readonly record: (command: WorkflowCommand) => Promise<boolean>;
  /** What tells that the worker crashed, once another incarnation has answered. */
  readonly crashEvidence?: () => CrashEvidence;
  /** Called after a change of free room, runs or reachability. */
  readonly onChange: () => void;
  /** Called when the worker has accepted a start. */
  readonly onStarted: (task: TaskRef) => void;
  /** Called for each stop that is sent. */
  readonly onStop?: (stop: StopRequest) => void;
  /** Called with the reason of each start that failed, or whose outcome is unknown. */
  readonly onStartFailed: (
    task: TaskRef,
    failure: OrderFailure,
    life: WorkerIncarnation,
  ) => void;
}
