import {Replica} from '@primrosewick/coordination';
import type {FollowEntry} from '@primrosewick/protocol';
import {
  CellError,
  type CellCommand,
  type CellImage,
  type CellResult,
  type Random,
} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {SimProcess} from '../world/process.js';

const MIN_COMMIT_MS = 2;
const MAX_COMMIT_MS = 30;
const UNKNOWN_AFTER_MS = 500;
const REFUSED_AFTER_MS = 50;

/**
 * A cell log that never loses a committed entry, over an unreliable network.
 */
export class FakeLog {
  private readonly entries: FollowEntry[] = [];
  private readonly replica = new Replica();
  /** Whether the zone can reach the log. */
  isReachable = true;
  /** Proposals that are lost, or whose answer is, in percent. */
  lossPercent = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
  ) {}

  /** Index of the last entry. */
  get index(): number {
    return this.entries.length;
  }

  /** State after the last entry. */
  get state() {
    return this.replica.state;
  }

  /** Entries after an index. */
  after(index: number): FollowEntry[] {
    return this.entries.slice(index);
  }

  /** The state as an image. */
  image(): CellImage {
    return this.replica.state.toImage();
  }

  /** Commits a command at once. */
  commit(command: CellCommand): CellResult {
    const entry = {index: this.entries.length + 1, command};
    this.entries.push(entry);
    return this.replica.apply(entry)!;
  }

  /**
   * Proposes a command for a process; the proposal or its answer may be lost.
   */
  propose(process: SimProcess, command: CellCommand): Promise<CellResult> {
    return new Promise((resolve, reject) => {
      const settle = (afterMs: number, action: () => void): void =>
        this.queue.after(afterMs, () => process.run(action));
      if (!this.isReachable) {
        return settle(REFUSED_AFTER_MS, () =>
          reject(new CellError({code: 'log_unavailable', step: 'propose'})),
        );
      }
      const isLost = this.random.nextInt(1, 100) <= this.lossPercent;
      const isCommitted = !isLost || this.random.nextInt(0, 1) === 0;
      this.queue.after(
        this.random.nextInt(MIN_COMMIT_MS, MAX_COMMIT_MS),
        () => {
          const result = isCommitted ? this.commit(command) : undefined;
          if (result && !isLost)
            settle(this.random.nextInt(MIN_COMMIT_MS, MAX_COMMIT_MS), () =>
              resolve(result),
            );
        },
      );
      if (isLost)
        settle(UNKNOWN_AFTER_MS, () =>
          reject(new CellError({code: 'log_outcome_unknown', step: 'propose'})),
        );
    });
  }

  /**
   * Returns the index that a read must have reached, or undefined if the log is
   * unreachable.
   */
  readIndex(process: SimProcess): Promise<number | undefined> {
    return new Promise(resolve => {
      this.queue.after(
        this.random.nextInt(MIN_COMMIT_MS, MAX_COMMIT_MS),
        () => {
          const index = this.isReachable ? this.index : undefined;
          this.queue.after(MIN_COMMIT_MS, () =>
            process.run(() => resolve(index)),
          );
        },
      );
    });
  }
}
