/** What the driver of a consensus core needs, and reports. */
import type {CellError, Folder, NodeId, VmId} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {FailedCall, LogPeers} from './outbox.js';
import type {ConsensusTiming, DurableState} from './types.js';

/** State machine that applies the log; its index never decreases. */
export interface ReplicatedStateMachine<C, R> {
  /** Index of the last entry applied. */
  readonly index: number;
  /** Applies one entry; an entry without a command only moves the index. */
  apply(entry: {readonly index: number; readonly command?: C}): R | undefined;
  /** Replaces the state by an image that `toImage` made on any node. */
  restore(image: unknown): void;
  /** The whole state, as plain data. */
  toImage(): {readonly index: number};
  /** Allows the state to be served from now on. */
  open(): void;
  /** Records that the state was current at a monotonic time, in ms. */
  noteFresh(at: number): void;
}

/** A snapshot that replaced log entries. */
export interface Compaction {
  readonly index: number;
  /** Size of the state in the snapshot. */
  readonly bytes: number;
  /** Number of entries that it replaced. */
  readonly dropped: number;
  /** Time for which encoding the state blocked the process, in ms. */
  readonly tookMs: number;
  /** Time until the snapshot and the log after it were on disk, in ms. */
  readonly writeMs: number;
}

/** Largest command, in bytes: a frame of a link, but for what goes with a command. */
export const MAX_COMMAND_BYTES = 7.5 * 1024 * 1024;

/** Options of the task. */
export interface ConsensusTaskOptions<C, R> {
  readonly node: NodeId;
  readonly folder: Folder;
  readonly restored: DurableState<C> & {
    /** Size of the file of the log, in bytes; 0 by default. */
    readonly logFileBytes?: number;
  };
  readonly replica: ReplicatedStateMachine<C, R>;
  readonly peers: LogPeers;
  readonly clock: Clock;
  readonly timing: Partial<ConsensusTiming>;
  readonly seed: number;
  /** Maximum number of pending proposals. */
  readonly maxProposals: number;
  readonly onFailure: (err: CellError) => void;
  /** Called with the number of messages of a VM that were left out as malformed. */
  readonly onMalformed?: (from: VmId, count: number) => void;
  /** Called when a call to another VM fails. */
  readonly onCallFailed?: (call: FailedCall) => void;
  /** Called when a snapshot made by this node is on disk. */
  readonly onCompacted?: (compaction: Compaction) => void;
}
