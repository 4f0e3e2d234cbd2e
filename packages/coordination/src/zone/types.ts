/** Seams of the zone's leader towards workers, the cell log and the journal. */
import type {
  CellCommand,
  CoreName,
  CellResult,
  DecisionNote,
  Epoch,
  StartTask,
} from '@primrosewick/state';

/** How a worker answered an order to start a task. */
export type StartResult = 'accepted' | 'refused' | 'unknown';

/** Sends orders to workers. */
export interface WorkerPort {
  start(order: StartTask, epoch: Epoch, leaseMs: number): Promise<StartResult>;
}

/** Brings commands to the cell log. */
export interface LogPort {
  propose(command: CellCommand): Promise<CellResult>;
  /** @returns an index at least as high as every entry committed before the call. */
  readIndex(): Promise<number | undefined>;
}

/** One event of a decision core with what it decided. */
export interface DecisionRecord {
  readonly core: CoreName;
  readonly event: unknown;
  readonly outcome: unknown;
  readonly notes: readonly DecisionNote[];
}

/** Keeps decisions for `explain` and `replay`. */
export interface Recorder {
  /** Notes that a core was started anew with these options. */
  start(core: CoreName, options: unknown): void;
  /** Notes that a core goes on from its image. */
  resume(core: CoreName, image: Uint8Array): void;
  record(record: DecisionRecord): void;
  /** Whether the core should go on from its image, so that older lines can be dropped. */
  isFull(core: CoreName): boolean;
}
