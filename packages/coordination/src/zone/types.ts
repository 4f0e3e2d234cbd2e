/** Ports of the zone's leader to workers, the cell log and the journal. */
import type {
  CellCommand,
  CoreName,
  CellResult,
  DecisionNote,
  Epoch,
  StartTask,
} from '@primrosewick/state';

/** A worker's answer to an order to start a task. */
export type StartResult = 'accepted' | 'refused' | 'unknown';

/** Sends orders to workers. */
export interface WorkerPort {
  start(order: StartTask, epoch: Epoch, leaseMs: number): Promise<StartResult>;
}

/** Proposes commands to the cell log and reads its index. */
export interface LogPort {
  propose(command: CellCommand): Promise<CellResult>;
  /** @returns an index at least as high as every entry committed before the call. */
  readIndex(): Promise<number | undefined>;
}

/** An event of a decision core and the resulting decision. */
export interface DecisionRecord {
  readonly core: CoreName;
  readonly event: unknown;
  readonly outcome: unknown;
  readonly notes: readonly DecisionNote[];
}

/** Records decisions for `explain` and `replay`. */
export interface Recorder {
  /** Records that a core was created with these options. */
  start(core: CoreName, options: unknown): void;
  /** Records that a core was restored from its image. */
  resume(core: CoreName, image: Uint8Array): void;
  record(record: DecisionRecord): void;
  /** Whether the core should be restored from its image, so that older lines can be dropped. */
  isFull(core: CoreName): boolean;
}
