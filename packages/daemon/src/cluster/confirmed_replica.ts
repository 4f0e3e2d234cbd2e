/** Confirmed reads of the replica of this VM. */
import {
  ConfirmedReader,
  ReplicaCatchUp,
  type WorkflowReplica,
} from '@primrosewick/coordination';
import type {LinkMethods} from '@primrosewick/protocol';
import {CellError} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {
  LeaderReadIndex,
  type LeaderReadIndexOptions,
} from './leader_read_index.js';

/** Options of {@link makeConfirmedReader}. */
export interface ConfirmedReplicaOptions extends LeaderReadIndexOptions {
  readonly replica: WorkflowReplica;
  readonly clock: Clock;
}

/** Maximum time that a read from another VM waits for a read index, in ms. */
const MAX_CONFIRMED_READ_MS = 5000;

/** Makes the reader of a replica that asks the leader for read indexes. */
export const makeConfirmedReader = (
  options: ConfirmedReplicaOptions,
): ConfirmedReader => {
  const {replica, clock} = options;
  const readIndex = new LeaderReadIndex(options);
  const catchUp = new ReplicaCatchUp({
    clock,
    appliedIndex: () => replica.index,
    askLeader: () => readIndex.ask(),
  });
  return new ConfirmedReader({replica, catchUp});
};

/**
 * Answers a read from another VM.
 * @throws CellError `log_unavailable` without a replica that may be read.
 */
export const answerConfirmed = async (
  readers: {readonly confirmed: ConfirmedReader} | null,
  {timeoutMs, ...address}: LinkMethods['readConfirmed']['request'],
  clock: Clock,
): Promise<LinkMethods['readConfirmed']['reply']> => {
  if (!readers)
    throw new CellError({code: 'log_unavailable', step: 'confirmed-read'});
  const leftMs = Math.min(timeoutMs, MAX_CONFIRMED_READ_MS);
  return readers.confirmed.readWorkflow(address, clock.now() + leftMs);
};
