/** What a channel to a worker needs. */
import type Logger from 'bunyan';
import type {
  TaskRef,
  WorkerIncarnation,
  WorkflowCommand,
  WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {OrderFailure, OrderPort} from './ports.js';
import type {StopRequest} from './stop_ledger.js';

/** Options of a channel. */
export interface WorkerChannelOptions {
  readonly life: WorkerIncarnation;
  readonly db: WorkflowDb;
  readonly port: OrderPort;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Number of the leadership; fences of later ones are higher. */
  readonly term: number;
  /** Lease that each hold and start extends to, in ms. */
  readonly leaseMs: number;
  /** Longest lease that a worker takes, in ms. */
  readonly maxLeaseMs: number;
  /** Monotonic time until which an earlier leader may have extended leases, in ms. */
  readonly previousLeaderUntil: number;
  /** Whether this VM certainly still leads, so that no later leader counts it as silent. */
  readonly mayOrder: () => boolean;
  /** Records something; @returns whether it certainly is in the log. */
  readonly record: (command: WorkflowCommand) => Promise<boolean>;
  /** Called when room, runs or reachability have changed. */
  readonly onChange: () => void;
  /** Called when the worker has taken a start. */
  readonly onStarted: (task: TaskRef) => void;
  /** Called for each stop that is ordered. */
  readonly onStop?: (stop: StopRequest) => void;
  /** Called for the reason of each start that did not take place. */
  readonly onStartFailed: (
    task: TaskRef,
    why: OrderFailure,
    life: WorkerIncarnation,
  ) => void;
}
