/** Makes what reads the replica of this VM, with its metrics. */
import {ReplicaReader, type WorkflowReplica} from '@primrosewick/coordination';
import type {Clock} from '@primrosewick/transport';
import type Logger from 'bunyan';
import type {Registry} from 'prom-client';
import {ReadsAroundEnds} from './reads_around_ends.js';

/** Options of {@link makeReplicaReader}. */
export interface ReplicaReadersOptions {
  readonly replica: WorkflowReplica;
  readonly clock: Clock;
  /** Age of the replica: time since the leader last reported its commit index, in ms. */
  readonly ageMs: () => number;
  readonly logger: Logger;
  readonly registry: Registry;
}

/** Makes the reader of a replica, which observes how its reads lie around ends. */
export const makeReplicaReader = (
  options: ReplicaReadersOptions,
): ReplicaReader => {
  const reads = new ReadsAroundEnds(options);
  return new ReplicaReader({
    ...options,
    onRead: (id, isEnded) => reads.noteRead(id, isEnded),
  });
};
