/** Workers that announce themselves at intervals. */
import type {EventQueue} from '../world/event_queue.js';
import {ANNOUNCE_MS} from './sim_leadership.js';
import type {SimNetwork} from './sim_network.js';
import type {SimReports} from './sim_reports.js';
import type {SimWorker} from './sim_worker.js';

/** Options of {@link announceRegularly}. */
export interface AnnouncementOptions {
  readonly queue: EventQueue;
  readonly workers: readonly SimWorker[];
  readonly network: SimNetwork;
  readonly reports: SimReports;
}

/** Announces all workers that can be heard, now and from then on. */
export const announceRegularly = (options: AnnouncementOptions): void => {
  const {queue, workers, network, reports} = options;
  for (const worker of workers)
    if (worker.isUp && !network.isSilent(worker)) reports.send(worker);
  queue.after(ANNOUNCE_MS, () => announceRegularly(options));
};
