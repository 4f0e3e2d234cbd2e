/**
 * Finds the queue of a path. Load pattern: each question and each submission
 * looks its queue up, among thousands.
 */
import type {Bundle, Queue} from './types.js';

/** Queues of one host, by prefix. */
interface HostQueues {
  readonly byPrefix: Map<string, Queue>;
  /** Lengths of the prefixes, each once; the longest comes first. */
  lengths: number[];
}

/** Queues of one bundle by host and prefix. */
type QueueIndex = ReadonlyMap<string, HostQueues>;

const makeIndex = ({queues}: Bundle): QueueIndex => {
  const index = new Map<string, HostQueues>();
  for (const queue of queues) {
    const host = index.get(queue.host) ?? {byPrefix: new Map(), lengths: []};
    index.set(queue.host, host);
    // The first of two queues with the same host and prefix counts.
    if (!host.byPrefix.has(queue.prefix))
      host.byPrefix.set(queue.prefix, queue);
  }
  for (const host of index.values()) {
    const lengths = [...host.byPrefix.keys()].map(({length}) => length);
    host.lengths = [...new Set(lengths)].sort((a, b) => b - a);
  }
  return index;
};

/** Indexes of the bundles in use, each made at the first look-up. */
const indexes = new WeakMap<Bundle, QueueIndex>();

const indexOf = (bundle: Bundle): QueueIndex => {
  const known = indexes.get(bundle);
  if (known) return known;
  const index = makeIndex(bundle);
  indexes.set(bundle, index);
  return index;
};

/** The queue of a host with the longest prefix of a path. */
export const findQueueOf = (
  bundle: Bundle,
  host: string,
  path: string,
): Queue | undefined => {
  const queues = indexOf(bundle).get(host);
  if (!queues) return undefined;
  for (const length of queues.lengths) {
    if (length > path.length) continue;
    const queue = queues.byPrefix.get(path.slice(0, length));
    if (queue) return queue;
  }
  return undefined;
};
