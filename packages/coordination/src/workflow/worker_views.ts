/** The leader's current view of the workers. */
import {
  NO_RESOURCES,
  freeResourcesOf,
  type Resources,
  type WorkerHealth,
  type WorkerId,
  type WorkerState,
  type WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {WorkerChannel} from './worker_channel.js';

/** Options of `WorkerViews`. */
export interface WorkerViewsOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly channels: ReadonlyMap<WorkerId, WorkerChannel>;
  readonly health: WorkerHealth;
  /** Interval of the workers' announcements, in ms. */
  readonly announceMs: number;
}

/** Announcements that an idle worker may miss before it gets no more tasks. */
const MISSED_ANNOUNCEMENTS = 3;

/** Determines which workers the planner may use. */
export class WorkerViews {
  /** Monotonic time of each worker's last announcement, in ms. */
  private readonly announcedAt = new Map<WorkerId, number>();
  private readonly startedAt: number;

  constructor(private readonly options: WorkerViewsOptions) {
    this.startedAt = options.clock.now();
  }

  /** Notes the announcement of a worker. */
  noteAnnouncement(worker: WorkerId): void {
    this.announcedAt.set(worker, this.options.clock.now());
  }

  /** Workers that currently get no new tasks. */
  unusable(): WorkerId[] {
    const {db, health, clock} = this.options;
    const aside = health.findSetAside([...db.workers.keys()], clock.now());
    return [...db.workers]
      .filter(([worker, state]) => aside.has(worker) || !this.isUsable(state))
      .map(([worker]) => worker);
  }

  /** Room of a worker that is not used by its recorded runs. */
  freeResources(worker: WorkerId): Resources {
    const {db} = this.options;
    const state = db.workers.get(worker);
    return state ? freeResourcesOf(state) : NO_RESOURCES;
  }

  private isUsable(state: WorkerState): boolean {
    const {worker, isDraining} = state.report;
    return (
      !isDraining &&
      this.options.channels.get(worker)?.isResponsive === true &&
      this.isPresumedAlive(worker, state)
    );
  }

  /** Whether a worker has active runs, which holds watch, or has announced itself recently. */
  private isPresumedAlive(worker: WorkerId, state: WorkerState): boolean {
    if (state.active.size > 0) return true;
    const {clock, announceMs} = this.options;
    const announcedAt = this.announcedAt.get(worker) ?? this.startedAt;
    return clock.now() < announcedAt + MISSED_ANNOUNCEMENTS * announceMs;
  }
}
