/** Makes the snapshots of a voter, and reports them. */
import {encode} from '@msgpack/msgpack';
import {isCompactionDue} from './compaction.js';
import type {ConsensusCore} from './core.js';
import type {Compaction, ConsensusTaskOptions} from './task_options.js';
import type {ConsensusInput} from './types.js';

/** Smallest buffer for a snapshot, in bytes. */
const MIN_BUFFER_BYTES = 64 * 1024;
/** Size of the buffer for a snapshot, as a multiple of the last one. */
const SNAPSHOT_GROWTH = 1.25;

type CompactInput<C> = Extract<ConsensusInput<C>, {kind: 'compact'}>;

/** Options of a compactor. */
export type CompactorOptions<C> = Pick<
  ConsensusTaskOptions<C, unknown>,
  'replica' | 'clock' | 'onCompacted'
> & {readonly core: Pick<ConsensusCore<C>, 'compactable' | 'logSize'>};

/** Compacts the log of one voter. */
export class Compactor<C> {
  /** Snapshot that was encoded but not written yet. */
  private pending: Omit<Compaction, 'writeMs'> | undefined;

  constructor(private readonly options: CompactorOptions<C>) {}

  /**
   * @param fileBytes - size of the file of the log, in bytes.
   * @returns the input that compacts the log, if that is due.
   */
  compactIfDue(fileBytes: number): CompactInput<C> | undefined {
    const {compactable} = this.options.core;
    return isCompactionDue({...compactable, fileBytes})
      ? this.encodeState()
      : undefined;
  }

  private encodeState(): CompactInput<C> {
    const {clock, replica, core} = this.options;
    const startedAt = clock.now();
    const image = replica.toImage();
    const data = encode(image, {
      ignoreUndefined: true,
      initialBufferSize: this.expectedBytes,
    });
    const now = clock.now();
    const {index} = image;
    this.pending = {
      index,
      bytes: data.length,
      dropped: index - core.logSize.snapshotIndex,
      tookMs: now - startedAt,
    };
    return {kind: 'compact', now, index, data};
  }

  /** A buffer that grows by doubling takes up to four times the bytes for a moment. */
  private get expectedBytes(): number {
    const {snapshotBytes} = this.options.core.logSize;
    return Math.ceil(
      Math.max(MIN_BUFFER_BYTES, SNAPSHOT_GROWTH * snapshotBytes),
    );
  }

  /** Reports a snapshot that is on disk, if it was made here; it took `writeMs` to write. */
  noteWritten(index: number | undefined, writeMs: number): void {
    if (index === undefined) return;
    const {pending} = this;
    this.pending = undefined;
    if (pending?.index === index)
      this.options.onCompacted?.({...pending, writeMs});
  }
}
