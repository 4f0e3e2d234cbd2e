/** Looks up the queue that a client addresses. */
import {findCustomersError} from './customer_checks.js';
import {findQueueOf} from './queue_index.js';
import type {Bundle, Queue} from './types.js';

/** A queue and the rest of the path after its prefix. */
export interface QueueMatch {
  readonly queue: Queue;
  /** Path after the prefix; empty for the queue itself. */
  readonly rest: string;
}

/**
 * Finds the queue with the longest prefix of a path.
 * @returns undefined when no queue of the host has such a prefix.
 */
export const matchQueue = (
  bundle: Bundle,
  host: string,
  path: string,
): QueueMatch | undefined => {
  const queue = findQueueOf(bundle, host, path);
  return queue && {queue, rest: path.slice(queue.prefix.length)};
};

/**
 * Validates a bundle.
 * @returns a message for the operator, or undefined if the bundle is valid.
 */
export const findBundleError = (bundle: Bundle): string | undefined => {
  const pools = new Set(bundle.pools.map(({name}) => name));
  const places = new Set<string>();
  for (const {name, host, prefix, pool} of bundle.queues) {
    if (!pools.has(pool)) return `queue ${name} names an unknown pool ${pool}`;
    const place = JSON.stringify([host, prefix]);
    if (places.has(place))
      return `two queues share host ${host} and prefix ${prefix}`;
    places.add(place);
  }
  return findCustomersError(bundle.customers ?? []);
};
