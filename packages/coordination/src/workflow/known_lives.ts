/** What the leader knows of the incarnations of workers, by its channels to them. */
import type {
  CrashEvidence,
  VoidedRun,
  WorkerId,
  WorkerIncarnation,
} from '@primrosewick/state';
import {pause, type Clock} from '@primrosewick/transport';
import {crashEvidenceOf} from './silence.js';
import type {WorkerChannel} from './worker_channel.js';

/**
 * Time for which an incarnation may take to answer, in ms: what is said of the
 * next one waits for it, and has to be answered within a second.
 */
const LIFE_CHECK_MS = 400;

/** Knows the incarnations of workers for which a leader has channels. */
export class KnownLives {
  constructor(
    private readonly channels: ReadonlyMap<WorkerId, WorkerChannel>,
    private readonly clock: Clock,
  ) {}

  /** The recorded runs of a worker, with their latest checkpoints. */
  runsOf(worker: WorkerId): readonly VoidedRun[] {
    return this.channels.get(worker)?.activeRuns ?? [];
  }

  /** Time since an incarnation last answered, in ms; undefined if it never did. */
  heardAgoMs({worker, bornAt}: WorkerIncarnation): number | undefined {
    const channel = this.channels.get(worker);
    return channel?.bornAt === bornAt ? channel.heardAgoMs : undefined;
  }

  /** What tells that a worker has crashed, now that this is proved. */
  crashEvidenceOf(worker: WorkerId): CrashEvidence {
    return crashEvidenceOf(worker, this.clock, this.channels);
  }

  /** Whether an incarnation of a worker answers within `LIFE_CHECK_MS`. */
  async isAlive({worker, bornAt}: WorkerIncarnation): Promise<boolean> {
    const channel = this.channels.get(worker);
    if (channel?.bornAt !== bornAt) return false;
    const timeout = pause(this.clock, LIFE_CHECK_MS).then(() => false);
    return Promise.race([channel.isAlive(), timeout]);
  }
}
