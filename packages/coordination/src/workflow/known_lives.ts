/** What the leader knows of the incarnations of workers, by its channels to them. */
import type {
  CrashEvidence,
  WorkerId,
  WorkerIncarnation,
} from '@primrosewick/state';
import {pause, type Clock} from '@primrosewick/transport';
import type {LifeState} from './end_proof/types.js';
import {crashEvidenceOf} from './silence.js';
import type {WorkerChannel} from './worker_channel.js';

/**
 * Time for which an incarnation may take to answer, in ms: what is said of the
 * next one waits for it, and has to be answered within a second.
 */
const LIFE_CHECK_MS = 400;

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
    return Promise.race([channel.checkLife(until), timeout]);
  }
}
