/** Makes what reads the replica of this VM, with its metrics, and answers other VMs. */
import {
  BlockingReadsTask,
  MAX_REPLICA_AGE_MS,
  ReplicaReader,
  type ConfirmedReader,
} from '@primrosewick/coordination';
import type {LinkMethods} from '@primrosewick/protocol';
import {systemClock} from '@primrosewick/transport';
import type Logger from 'bunyan';
import {Gauge, Histogram, type Registry} from 'prom-client';
import {
  makeConfirmedReader,
  type ConfirmedReplicaOptions,
} from './confirmed_replica.js';
import {observeEndAges} from './end_ages.js';
import {ReadsAroundEnds} from './reads_around_ends.js';

/** Options of {@link makeReplicaReaders}. */
export interface ReplicaReadersOptions extends ConfirmedReplicaOptions {
  /** Age of the replica: time since the leader last reported its commit index, in ms. */
  readonly ageMs: () => number;
  readonly logger: Logger;
  readonly registry: Registry;
}

/** Readers of one replica. */
export interface ReplicaReaders {
  readonly reader: ReplicaReader;
  readonly confirmed: ConfirmedReader;
  /** Reads of `reader` that wait for an end. */
  readonly blocking: BlockingReadsTask;
}

const WAIT_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1000, 2000];
/** Maximum time for which a read from another VM waits for an end, in ms. */
const MAX_END_WAIT_MS = 2000;

/** Makes the readers of a replica, which observe the ends that it applies. */
export const makeReplicaReaders = (
  options: ReplicaReadersOptions,
): ReplicaReaders => {
  const {replica, clock, registry} = options;
  observeEndAges(replica, clock, registry);
  const reads = new ReadsAroundEnds(options);
  const blocking = makeBlockingReads(options);
  const reader = new ReplicaReader({
    ...options,
    blocking,
    onRead: (id, isEnded) => reads.noteRead(id, isEnded),
  });
  return {reader, confirmed: makeConfirmedReader(options), blocking};
};

const makeBlockingReads = ({
  replica,
  clock,
  ageMs,
  registry,
}: ReplicaReadersOptions): BlockingReadsTask => {
  const registers = [registry];
  const waits = new Histogram({
    name: 'primrosewick_blocking_read_ms',
    help: 'Time for which a read waited for the end of its workflow, by queue and by why it was answered, in ms.',
    labelNames: ['queue', 'reason'],
    buckets: WAIT_BUCKETS_MS,
    registers,
  });
  const task = new BlockingReadsTask({
    replica,
    clock,
    isFresh: () => ageMs() <= MAX_REPLICA_AGE_MS,
    onReleased: ({queue, why, waitedMs}) =>
      waits.observe({queue, reason: why}, waitedMs),
  });
  new Gauge({
    name: 'primrosewick_blocking_reads',
    help: 'Reads that wait for the end of their workflow.',
    registers,
    collect() {
      this.set(task.size);
    },
  });
  return task;
};

/** Answers a read of another VM from the replica of this one, if it has one. */
export const answerRead = async (
  readers: ReplicaReaders | null,
  {atLeast, waitMs, ...address}: LinkMethods['readWorkflow']['request'],
  signal: AbortSignal,
): Promise<LinkMethods['readWorkflow']['reply']> => {
  if (!readers) return {answer: null, index: 0};
  const {reader} = readers;
  const deadline = systemClock.now() + boundedWaitMs(waitMs);
  const {answer = null, waitedMs} = await reader.readBlocking(
    address,
    atLeast,
    {deadline, signal},
  );
  return {answer, index: reader.index, waitedMs: Math.round(waitedMs)};
};

/** The wait that another VM asks for, within bounds; 0 unless it is a sound number. */
const boundedWaitMs = (waitMs: unknown): number =>
  typeof waitMs === 'number' && waitMs > 0
    ? Math.min(waitMs, MAX_END_WAIT_MS)
    : 0;
