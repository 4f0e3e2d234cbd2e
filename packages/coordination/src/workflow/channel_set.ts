/** The channels of one leadership: one for each registered incarnation. */
import type {
  WorkerId,
  WorkerIncarnation,
  WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {OrphanTracker} from './orphan_tracker.js';
import type {WorkerChannel} from './worker_channel.js';

/** Options of {@link ChannelSet}. */
export interface ChannelSetOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly channels: Map<WorkerId, WorkerChannel>;
  readonly orphans: OrphanTracker;
  /** Opens a channel whose fences begin with a number. */
  readonly open: (life: WorkerIncarnation, firstFence: number) => WorkerChannel;
}

/** Opens and closes channels as workers come and go. */
export class ChannelSet {
  /** Number of the first fence of each worker's next channel. */
  private readonly firstFences = new Map<WorkerId, number>();

  constructor(private readonly options: ChannelSetOptions) {}

  /** Closes channels of incarnations that are gone, and opens those that lack. */
  sync(): void {
    const {db, channels, open} = this.options;
    for (const [worker, channel] of channels)
      if (db.workers.get(worker)?.report.bornAt !== channel.bornAt)
        this.close(worker, channel);
    for (const [worker, {report}] of db.workers) {
      if (channels.has(worker)) continue;
      const life = {worker, bornAt: report.bornAt};
      channels.set(worker, open(life, this.firstFences.get(worker) ?? 0));
    }
  }

  private close(worker: WorkerId, channel: WorkerChannel): void {
    const {channels, clock, orphans} = this.options;
    const {undeliveredStarts: starts, end} = channel;
    const {hasNextLife} = end;
    orphans.note({worker, starts, hasNextLife}, clock.now());
    // The next incarnation executes delayed orders to this one, unless outdated.
    this.firstFences.set(worker, channel.nextFence);
    channel.close();
    channels.delete(worker);
  }
}
