/**
 * Brings the replica of this VM up to what the leader confirms, so that it can
 * answer a linearizable read. Load pattern: the leader has the least time when
 * most is asked, while the VMs with the other replicas are idle; a read index
 * is a small question, and many reads share one.
 */
import {CellError} from '@primrosewick/state';
import {pause, type Clock} from '@primrosewick/transport';
import {ReadIndexBatcher} from './read_index_batcher.js';

/** Options of {@link ReplicaCatchUp}. */
export interface ReplicaCatchUpOptions {
  readonly clock: Clock;
  /** Index of the log up to which the replica has applied entries. */
  readonly appliedIndex: () => number;
  /**
   * Asks the VM that leads now for a read index, which it gives once a quorum
   * has confirmed its leadership.
   */
  readonly askLeader: () => Promise<number>;
}

/**
 * Time for which a read waits for a round before it joins another one as well,
 * in ms: the leader that was asked may be silent, and have a successor.
 */
const ROUND_PATIENCE_MS = 150;
/** Polling interval while the replica is behind, in ms. */
const POLL_INTERVAL_MS = 10;

/** Waits until a replica shows all that was committed before a read began. */
export class ReplicaCatchUp {
  private readonly rounds: ReadIndexBatcher;

  constructor(private readonly options: ReplicaCatchUpOptions) {
    const {clock, askLeader} = options;
    this.rounds = new ReadIndexBatcher(askLeader, {
      clock,
      maxWaitMs: ROUND_PATIENCE_MS,
    });
  }

  /**
   * Resolves once the replica has applied all that was committed before the
   * call.
   * @throws CellError `log_unavailable` at the deadline, a monotonic time in ms.
   */
  async reach(deadline: number): Promise<void> {
    const {clock, appliedIndex} = this.options;
    const index = await this.confirmedIndex(deadline);
    while (appliedIndex() < index) {
      if (clock.now() >= deadline)
        throw unavailable(`the replica is behind read index ${index}`);
      await pause(clock, POLL_INTERVAL_MS);
    }
  }

  /** The first index that is confirmed by any of the rounds that a read joins. */
  private confirmedIndex(deadline: number): Promise<number> {
    return new Promise<number>((resolve, reject) => {
      let isDone = false;
      let detail = 'no leader confirmed a read index in time';
      const take = (index: number): void => {
        isDone = true;
        resolve(index);
      };
      const note = (err: unknown): void => void (detail = String(err));
      const joinRounds = async (): Promise<void> => {
        const {clock} = this.options;
        while (!isDone && clock.now() < deadline) {
          this.rounds.read().then(take, note);
          const leftMs = deadline - clock.now();
          await pause(clock, Math.min(ROUND_PATIENCE_MS, leftMs));
        }
        reject(unavailable(detail));
      };
      void joinRounds();
    });
  }
}

const unavailable = (detail: string): CellError =>
  new CellError({code: 'log_unavailable', step: 'read-index', detail});
