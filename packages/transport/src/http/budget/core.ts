/**
 * Decides which connection gives way when untrusted peers make this process
 * hold too much. Addresses the load of many peers that open connections, send
 * bodies that never end or requests ahead, and read no answers. Pure: times
 * are arguments, and the caller owns the sockets.
 *
 * The connection that gives way belongs to the address that holds most, and is
 * the largest of that address; among equals it is the slowest. So behind a
 * shared address the share is that of a connection, and a peer that holds
 * little is not chosen while another holds more.
 */
import {
  CONNECTION_BYTES,
  type BudgetLimits,
  type ConnectionId,
  type PeerAddress,
  type ServerId,
} from './types.js';

/** What one connection holds. */
interface Connection {
  readonly id: ConnectionId;
  readonly address: PeerAddress;
  readonly server: ServerId;
  bytes: number;
  /** When it last began or ended a request, a monotonic time in ms. */
  movedAt: number;
  /** Requests that have begun and whose response is not sent yet. */
  requests: number;
}

/** Connections of one address. */
interface Peer {
  bytes: number;
  readonly connections: Map<ConnectionId, Connection>;
}

/** Accounts for what each connection makes the process hold. */
export class PeerLedger {
  private readonly connections = new Map<ConnectionId, Connection>();
  private readonly peers = new Map<PeerAddress, Peer>();
  private readonly serverSizes = new Map<ServerId, number>();
  private held = 0;
  private started = 0;

  constructor(private readonly limits: BudgetLimits) {}

  /** Bytes that all connections hold. */
  get heldBytes(): number {
    return this.held;
  }

  /** Requests that have begun and whose response is not sent yet. */
  get startedRequests(): number {
    return this.started;
  }

  /** Number of connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Number of addresses with a connection. */
  get addresses(): number {
    return this.peers.size;
  }

  /** Adds a connection at a monotonic time in ms. */
  open(id: ConnectionId, {address, server, now}: OpenedConnection): void {
    const connection: Connection = {
      id,
      address,
      server,
      bytes: 0,
      movedAt: now,
      requests: 0,
    };
    this.connections.set(id, connection);
    const peer = this.peers.get(address) ?? {bytes: 0, connections: new Map()};
    this.peers.set(address, peer);
    peer.connections.set(id, connection);
    this.serverSizes.set(server, this.countOf(server) + 1);
    this.add(id, CONNECTION_BYTES);
  }

  /** Adds bytes to what a connection holds; negative where it lets go of them. */
  add(id: ConnectionId, bytes: number): void {
    const connection = this.connections.get(id);
    if (!connection) return;
    connection.bytes += bytes;
    this.peers.get(connection.address)!.bytes += bytes;
    this.held += bytes;
  }

  /** Notes that a request began (1) or ended (-1) at a monotonic time in ms. */
  noteRequest(id: ConnectionId, change: 1 | -1, now: number): void {
    const connection = this.connections.get(id);
    if (!connection) return;
    connection.requests += change;
    this.started += change;
    connection.movedAt = now;
  }

  /** Removes a connection with all that it holds. */
  close(id: ConnectionId): void {
    const connection = this.connections.get(id);
    if (!connection) return;
    const {address, server, bytes, requests} = connection;
    this.started -= requests;
    this.add(id, -bytes);
    this.connections.delete(id);
    const peer = this.peers.get(address)!;
    peer.connections.delete(id);
    if (peer.connections.size === 0) this.peers.delete(address);
    this.serverSizes.set(server, this.countOf(server) - 1);
  }

  /** The connection that gives way as too many bytes are held, if any must. */
  findLargest(): ConnectionId | undefined {
    if (this.held <= this.limits.maxBytes) return undefined;
    const peer = maxBy([...this.peers.values()], ({bytes}) => bytes);
    const connections = [...(peer?.connections.values() ?? [])];
    const largest = Math.max(...connections.map(({bytes}) => bytes));
    return minBy(
      connections.filter(({bytes}) => bytes === largest),
      ({movedAt}) => movedAt,
    )?.id;
  }

  /**
   * The connection that gives way to a new one as there are too many, if any
   * must: of the address with most, the one that has been idle for longest, and
   * the new one itself if none is idle.
   * @param opened - the connection that was opened last.
   * @param maxOfServer - connections that its server accepts.
   */
  findIdlest(
    opened: ConnectionId,
    maxOfServer: number,
  ): ConnectionId | undefined {
    const server = this.connections.get(opened)?.server;
    if (server === undefined) return undefined;
    const isServerFull = this.countOf(server) > maxOfServer;
    if (!isServerFull && this.size <= this.limits.maxConnections)
      return undefined;
    const candidates = [...this.connections.values()].filter(
      connection => !isServerFull || connection.server === server,
    );
    const counts = new Map<PeerAddress, number>();
    for (const {address} of candidates)
      counts.set(address, (counts.get(address) ?? 0) + 1);
    const [busiest] = maxBy([...counts], ([, count]) => count) ?? [];
    const idle = candidates.filter(
      ({id, address, requests}) =>
        id !== opened && address === busiest && requests === 0,
    );
    return minBy(idle, ({movedAt}) => movedAt)?.id ?? opened;
  }

  private countOf(server: ServerId): number {
    return this.serverSizes.get(server) ?? 0;
  }
}

/** A connection that was accepted. */
export interface OpenedConnection {
  readonly address: PeerAddress;
  readonly server: ServerId;
  /** Monotonic time, in ms. */
  readonly now: number;
}

const maxBy = <T>(
  items: readonly T[],
  value: (item: T) => number,
): T | undefined => minBy(items, item => -value(item));

/** The first item with the least value. */
const minBy = <T>(
  items: readonly T[],
  value: (item: T) => number,
): T | undefined => {
  let best: T | undefined;
  let bestValue = Number.POSITIVE_INFINITY;
  for (const item of items) {
    const itemValue = value(item);
    if (itemValue >= bestValue) continue;
    best = item;
    bestValue = itemValue;
  }
  return best;
};

/** Chunks of a body of any size; no client within the limits sends more. */
const FREE_CHUNKS = 512;
/** Mean size of further chunks, in bytes; each costs a call, whatever its size. */
const MIN_MEAN_CHUNK_BYTES = 64;

/**
 * Whether a body arrives in so many tiny chunks that handling them would keep
 * the process from other work.
 */
export const isFragmented = (chunks: number, bytes: number): boolean =>
  chunks > FREE_CHUNKS + bytes / MIN_MEAN_CHUNK_BYTES;

/** What becomes of a request that a connection sends ahead of others. */
export type AheadDecision = 'start' | 'wait' | 'close';

/** State of a connection whose next request is decided. */
export interface PipelineState {
  /** Requests that have started and whose response is not sent yet. */
  readonly started: number;
  /** Requests that have started on all connections. */
  readonly startedInAll: number;
  /** Requests that were parsed on all connections and are not released yet. */
  readonly parsedInAll: number;
  readonly waiting: number;
  /** Bytes of responses that the peer has not read. */
  readonly unreadBytes: number;
}

/**
 * Requests of a connection whose response is not sent yet; it is closed at the
 * next one. Node's parser delivers all requests of a read, so they can't be left
 * unread.
 */
export const MAX_REQUESTS_IN_PROGRESS = 16;
/**
 * Parsed requests of all connections from which on a connection has one; those of a
 * connection that was closed count until its socket is gone, as Node holds them.
 */
export const MANY_PARSED_REQUESTS = 512;
/**
 * Requests of all connections from which on a connection has one handled at
 * once, so that requests sent ahead don't delay those of other connections.
 */
export const MANY_STARTED_REQUESTS = 256;
/** Unread bytes of responses from which on no further request is started. */
export const MAX_UNREAD_BYTES = 64 * 1024;

/** Decides whether a connection may start a request that has arrived. */
export const decideAhead = (state: PipelineState): AheadDecision => {
  const isCrowded = state.parsedInAll >= MANY_PARSED_REQUESTS;
  const maxInProgress = isCrowded ? 1 : MAX_REQUESTS_IN_PROGRESS;
  if (state.started + state.waiting >= maxInProgress) return 'close';
  return state.waiting > 0 || !mayStart(state) ? 'wait' : 'start';
};

/** Whether a connection may start the request that waits first. */
export const mayStart = (state: PipelineState): boolean => {
  const isBusy = state.startedInAll >= MANY_STARTED_REQUESTS;
  return (
    (!isBusy || state.started === 0) && state.unreadBytes <= MAX_UNREAD_BYTES
  );
};

/** Bytes that a peer has not read yet, as seen at two times. */
export interface UnreadState {
  readonly bytes: number;
  /** When their number was last seen to fall, a monotonic time in ms. */
  readonly movedAt: number;
}

/** Time for which a peer may read nothing of a response, in ms. */
export const UNREAD_TIMEOUT_MS = 5000;

/** Follows the unread bytes of a connection. */
export const followUnread = (
  before: UnreadState,
  bytes: number,
  now: number,
): UnreadState => ({
  bytes,
  movedAt: bytes === 0 || bytes !== before.bytes ? now : before.movedAt,
});

/** Whether a peer has read nothing for too long. */
export const isUnread = ({bytes, movedAt}: UnreadState, now: number): boolean =>
  bytes > 0 && now - movedAt >= UNREAD_TIMEOUT_MS;
