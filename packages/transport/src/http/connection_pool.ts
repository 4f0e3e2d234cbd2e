/**
 * Kept connections to other processes. Connections may go silent without a reset
 * while new ones work, and they go silent together: waiting out the timeout of each
 * takes as long as there are connections. So one call without an answer closes all
 * connections to its address that have received nothing since it was sent.
 */
import {Agent} from 'node:http';
import type {Socket} from 'node:net';

/** Silent connections to one address that were closed. */
export interface SilentConnections {
  readonly address: string;
  /** Closed connections without a call in flight. */
  readonly idleCount: number;
  /** Closed connections with a call in flight, beside the one without an answer. */
  readonly busyCount: number;
  /** Time since the call without an answer was sent, in ms. */
  readonly silentMs: number;
}

/** Options of a `ConnectionPool`. */
export interface ConnectionPoolOptions {
  /** Maximum number of connections to one address. */
  readonly maxConnections: number;
  /**
   * Whether silent connections with a call in flight are left to it, as how long an
   * answer may take is not known.
   */
  readonly keepsBusy?: boolean;
  /** Called when silent connections are closed. */
  readonly onSilent?: (closed: SilentConnections) => void;
}

/** State of one connection; times are monotonic, in ms. */
interface Connection {
  /** When the call in flight was sent; undefined if there is none. */
  sentAt: number | undefined;
  /** When the last response began to arrive, or the connection was first used. */
  heardAt: number;
}

/** A call younger than this may be answered yet, whatever others come to, in ms. */
const YOUNG_CALL_MS = 250;

/** Keeps connections, and closes those that have gone silent. */
export class ConnectionPool {
  /** Makes and keeps the connections. */
  readonly agent: Agent;
  private readonly byAddress = new Map<string, Map<Socket, Connection>>();

  constructor(private readonly options: ConnectionPoolOptions) {
    const {maxConnections} = options;
    this.agent = new Agent({
      keepAlive: true,
      maxSockets: maxConnections,
      maxFreeSockets: maxConnections,
    });
  }

  /** Notes a call that is sent over a connection at a monotonic time in ms. */
  noteSent(address: string, socket: Socket, now: number): void {
    const known = this.connectionsTo(address);
    const connection = known.get(socket);
    if (connection) {
      connection.sentAt = now;
      return;
    }
    known.set(socket, {sentAt: now, heardAt: now});
    socket.once('close', () => this.forget(address, socket));
  }

  /** Notes a response that begins to arrive at a monotonic time in ms. */
  noteHeard(address: string, socket: Socket, now: number): void {
    const connection = this.byAddress.get(address)?.get(socket);
    if (!connection) return;
    connection.heardAt = now;
    connection.sentAt = undefined;
  }

  /**
   * Notes a call without an answer, and closes all connections to its address that
   * have received nothing since it was sent. Their calls fail; a connection with a
   * young one is left to it.
   */
  noteSilent(address: string, socket: Socket, now: number): void {
    const known = this.byAddress.get(address);
    const sentAt = known?.get(socket)?.sentAt;
    if (!known || sentAt === undefined) return;
    const silent = [...known].filter(
      ([other, connection]) =>
        other !== socket &&
        isSilent(connection, sentAt, now) &&
        !(this.options.keepsBusy && connection.sentAt !== undefined),
    );
    if (silent.length === 0) return;
    for (const [other] of silent) {
      // Destroyed alone, it could be given to another call until its close event.
      other.emit('agentRemove');
      other.destroy();
    }
    const isIdle = ([, {sentAt}]: [Socket, Connection]) => sentAt === undefined;
    const idleCount = silent.filter(isIdle).length;
    const busyCount = silent.length - idleCount;
    const silentMs = Math.round(now - sentAt);
    this.options.onSilent?.({address, idleCount, busyCount, silentMs});
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private connectionsTo(address: string): Map<Socket, Connection> {
    const known = this.byAddress.get(address) ?? new Map();
    this.byAddress.set(address, known);
    return known;
  }

  private forget(address: string, socket: Socket): void {
    const known = this.byAddress.get(address);
    known?.delete(socket);
    if (known?.size === 0) this.byAddress.delete(address);
  }
}

/** Whether a connection has received nothing since a time, and no young call waits on it. */
const isSilent = (
  {sentAt, heardAt}: Connection,
  since: number,
  now: number,
): boolean => {
  const isYoung = sentAt !== undefined && now - sentAt < YOUNG_CALL_MS;
  return heardAt <= since && !isYoung;
};
