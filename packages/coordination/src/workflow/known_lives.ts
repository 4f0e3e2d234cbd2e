/** What the leader knows of the incarnations of workers, by its channels to them. */
import type {
  CrashEvidence,
  WorkerId,
  WorkerIncarnation,
} from '@primrosewick/state';
import {pause, type Clock} from '@primrosewick/transport';
import type {LifeState} from './end_proof/types.js';
import type {OrphanState} from './orphan_tracker.js';
import type {WorkerTarget} from './ports.js';
import {crashEvidenceOf} from './silence.js';
import type {ExpectedStart} from './start_ledger.js';
import type {WorkerChannel} from './worker_channel.js';

/**
 * Time for which an incarnation may take to answer, in ms: what is said of the
 * next one waits for it, and has to be answered within a second.
 */
const LIFE_CHECK_MS = 400;

/** Pause before an incarnation that did not answer is asked again, in ms. */
const LIFE_CHECK_PAUSE_MS = 120;

const SILENT: LifeState = 'silent';

/** Knows the incarnations of workers for which a leader has channels. */
export class KnownLives {
  constructor(
    private readonly channels: ReadonlyMap<WorkerId, WorkerChannel>,
    private readonly clock: Clock,
  ) {}

  /** Removes an incarnation that leaves and has no runs; undefined without a channel. */
  depart({worker, bornAt}: WorkerIncarnation): Promise<void> | undefined {
    const channel = this.channels.get(worker);
    return channel?.bornAt === bornAt ? channel.end.depart() : undefined;
  }

  /** What the incarnation of a worker does with a start that was sent to one before. */
  orphanStateOf(worker: WorkerId, start: ExpectedStart): OrphanState {
    const channel = this.channels.get(worker);
    if (!channel) return 'no_later_life';
    if (!channel.isUsable) return 'unlisted';
    return channel.listsOrphan(start) ? 'runs' : 'over';
  }

  /** What tells that a worker has crashed, now that this is proved. */
  crashEvidenceOf(worker: WorkerId): CrashEvidence {
    return crashEvidenceOf(worker, this.clock, this.channels);
  }

  /** What an incarnation of a worker does, asked for `LIFE_CHECK_MS` at most. */
  async check({worker, bornAt}: WorkerIncarnation): Promise<LifeState> {
    const channel = this.channels.get(worker);
    if (channel?.bornAt !== bornAt) return 'silent';
    const until = this.clock.now() + LIFE_CHECK_MS;
    const timeout = pause(this.clock, LIFE_CHECK_MS).then(() => SILENT);
    return Promise.race([this.askUntil(channel, until), timeout]);
  }

  /**
   * Whether an incarnation answers where it is said to run, asked for
   * `LIFE_CHECK_MS` at most; undefined without a channel to one of that worker.
   */
  answers(claim: WorkerTarget): Promise<boolean> | undefined {
    const channel = this.channels.get(claim.worker);
    if (!channel) return undefined;
    const timeout = pause(this.clock, LIFE_CHECK_MS).then(() => false);
    const answer = channel.ask(claim).then(reply => reply?.kind === 'lists');
    return Promise.race([answer, timeout]);
  }

  private async askUntil(
    channel: WorkerChannel,
    until: number,
  ): Promise<LifeState> {
    while (this.clock.now() < until) {
      const state = await channel.askLife();
      if (state !== 'silent') return state;
      await pause(this.clock, LIFE_CHECK_PAUSE_MS);
    }
    return 'silent';
  }
}
