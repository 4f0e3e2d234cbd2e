/** Makes the relay that acknowledges workers' announcements from this VM's replica. */
import {
  AnnouncementRelay,
  type GatewayTask,
  type WorkflowReplica,
} from '@primrosewick/coordination';
import type {Clock} from '@primrosewick/transport';
import type Logger from 'bunyan';

/** Options of {@link makeAnnouncementRelay}. */
export interface AnnouncementRelayOptions {
  readonly replica: WorkflowReplica;
  readonly clock: Clock;
  /** Age of the replica: time since the leader last reported its commit index, in ms. */
  readonly ageMs: () => number;
  readonly logger: Logger;
  readonly gateway: () => Pick<GatewayTask, 'callLeader' | 'hasContact'>;
}

/** Time to report announcements to the leader, in ms. */
const REPORT_TIMEOUT_MS = 900;

/** Makes a relay that reports announcements without changes to the leader in batches. */
export const makeAnnouncementRelay = ({
  replica,
  gateway,
  ...options
}: AnnouncementRelayOptions): AnnouncementRelay =>
  new AnnouncementRelay({
    ...options,
    db: replica.db,
    canAnswer: () => replica.isReady && gateway().hasContact,
    reportToLeader: async workers => {
      const deadline = options.clock.now() + REPORT_TIMEOUT_MS;
      await gateway().callLeader('heardWorkers', {workers}, deadline);
    },
  });
