/**
 * Kept connections to other processes. Connections may go silent without a reset
 * while new ones work, and they go silent together: waiting out the timeout of each
 * takes as long as there are connections. So one call without an answer closes all
 * connections to its address that have received nothing since it was due.
 */
import {Agent} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionTable} from './connection_table.js';

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

/** A call whose time for an answer is over. */
export interface UnansweredCall {
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Time for which the peer was asked to wait before it responds, in ms. */
  readonly waitMs?: number;
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

/** Keeps connections, and closes those that have gone silent. */
export class ConnectionPool {
  /** Makes and keeps the connections. */
  readonly agent: Agent;
  private readonly byAddress = new Map<string, ConnectionTable<Socket>>();

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
    if (!this.connectionsTo(address).noteSent(socket, now)) return;
    socket.once('close', () => this.forget(address, socket));
  }

  /** Notes a response that begins to arrive at a monotonic time in ms. */
  noteHeard(address: string, socket: Socket, now: number): void {
    this.byAddress.get(address)?.noteHeard(socket, now);
  }

  /**
   * Notes a call without an answer, and closes all connections to its address that
   * have received nothing since it was due. Their calls fail; a connection with a
   * young one is left to it.
   */
  noteSilent(address: string, socket: Socket, call: UnansweredCall): void {
    const {now, waitMs} = call;
    const found = this.byAddress.get(address)?.findSilent(socket, now, waitMs);
    this.forget(address, socket);
    if (!found) return;
    const {idle, silentMs} = found;
    const busy = this.options.keepsBusy ? [] : found.busy;
    const silent = [...idle, ...busy];
    if (silent.length === 0) return;
    for (const other of silent) {
      // Destroyed alone, it could be given to another call until its close event.
      other.emit('agentRemove');
      other.destroy();
      this.forget(address, other);
    }
    const idleCount = idle.length;
    const busyCount = busy.length;
    this.options.onSilent?.({address, idleCount, busyCount, silentMs});
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private connectionsTo(address: string): ConnectionTable<Socket> {
    const known = this.byAddress.get(address) ?? new ConnectionTable();
    this.byAddress.set(address, known);
    return known;
  }

  private forget(address: string, socket: Socket): void {
    const known = this.byAddress.get(address);
    known?.forget(socket);
    if (known?.isEmpty) this.byAddress.delete(address);
  }
}
