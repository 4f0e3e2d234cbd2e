/** One budget of a process for what untrusted peers make it hold, on all servers. */
import type {Socket} from 'node:net';
import {PeerLedger, followUnread, isUnread, type UnreadState} from './core.js';
import {
  DEFAULT_PROCESS_LIMITS,
  budgetLimitsOf,
  type CloseReason,
  type ConnectionId,
  type PeerAddress,
  type ProcessLimits,
  type ServerId,
} from './types.js';

/** A connection or request that gave way. */
export interface PeerClosed {
  readonly reason: CloseReason;
  readonly address: PeerAddress;
  /** Bytes that all peers held then. */
  readonly heldBytes: number;
  readonly connections: number;
}

/** Told about what gave way, and asked for what a connection holds. */
export interface BudgetedPeer {
  readonly socket: Socket;
  /** Bytes of responses that the peer has not read. */
  unreadBytes(): number;
  /** Bytes of a request whose headers are incomplete. */
  partialBytes(): number;
  /** Rejects the body that is being read, if one is; false if there is none. */
  rejectBody(): boolean;
}

interface Entry {
  readonly peer: BudgetedPeer;
  readonly address: PeerAddress;
  unread: UnreadState;
  partialBytes: number;
}

/** Interval at which unread responses and partial headers are looked at, in ms. */
const SWEEP_MS = 250;

/** Accounts for the connections of all servers, and closes those that give way. */
export class PeerBudget {
  /** Told about each connection or request that gave way. */
  onClosed: (closed: PeerClosed) => void = () => undefined;
  private readonly ledger: PeerLedger;
  private readonly entries = new Map<ConnectionId, Entry>();
  private sweeper: NodeJS.Timeout | undefined;
  private nextId = 0;
  private parsed = 0;

  constructor(limits: ProcessLimits = DEFAULT_PROCESS_LIMITS) {
    this.ledger = new PeerLedger(budgetLimitsOf(limits));
  }

  /** Bytes that all peers hold. */
  get heldBytes(): number {
    return this.ledger.heldBytes;
  }

  /** Requests that have begun and whose response is not sent yet. */
  get startedRequests(): number {
    return this.ledger.startedRequests;
  }

  /** Requests that were parsed and are not released yet. */
  get parsedRequests(): number {
    return this.parsed;
  }

  /** Number of connections. */
  get connections(): number {
    return this.ledger.size;
  }

  /** Number of addresses with a connection. */
  get addresses(): number {
    return this.ledger.addresses;
  }

  /** Names a new server. */
  addServer(): ServerId {
    return this.nextId++ as ServerId;
  }

  /**
   * Adds a connection; one may be closed for it, or the new one itself.
   * @returns its id, or undefined if it was closed.
   */
  open(
    peer: BudgetedPeer,
    server: ServerId,
    maxOfServer: number,
  ): ConnectionId | undefined {
    const id = this.nextId++ as ConnectionId;
    const address = (peer.socket.remoteAddress ?? '') as PeerAddress;
    const now = performance.now();
    const unread = {bytes: 0, movedAt: now};
    this.entries.set(id, {peer, address, unread, partialBytes: 0});
    this.ledger.open(id, {address, server, now});
    peer.socket.once('close', () => this.forget(id));
    const idlest = this.ledger.findIdlest(id, maxOfServer);
    if (idlest !== undefined) this.end(idlest, 'connections');
    this.enforce();
    this.sweeper ??= setInterval(() => this.sweep(), SWEEP_MS).unref();
    return this.entries.has(id) ? id : undefined;
  }

  /** Adds bytes to what a connection holds; others, or this one, may give way. */
  charge(id: ConnectionId, bytes: number): void {
    this.ledger.add(id, bytes);
    if (bytes > 0) this.enforce();
  }

  /** Notes that a request was parsed (1) or is released (-1). */
  noteParsed(change: 1 | -1): void {
    this.parsed += change;
  }

  /** Notes that a request began (1) or ended (-1) on a connection. */
  noteRequest(id: ConnectionId, change: 1 | -1): void {
    this.ledger.noteRequest(id, change, performance.now());
  }

  /** Closes a connection. */
  end(id: ConnectionId, reason: CloseReason): void {
    const entry = this.entries.get(id);
    if (!entry) return;
    this.tell(entry, reason);
    this.forget(id);
    entry.peer.socket.destroy();
  }

  /** Lets connections give way until the budget is kept. */
  private enforce(): void {
    for (;;) {
      const id = this.ledger.findLargest();
      if (id === undefined) return;
      const held = this.ledger.heldBytes;
      const entry = this.entries.get(id)!;
      // The rejection lets go of the body; the response is still sent.
      if (entry.peer.rejectBody()) this.tell(entry, 'bytes');
      if (this.ledger.heldBytes >= held) this.end(id, 'bytes');
    }
  }

  private tell({address}: Entry, reason: CloseReason): void {
    const {heldBytes, connections} = this;
    this.onClosed({reason, address, heldBytes, connections});
  }

  private forget(id: ConnectionId): void {
    this.entries.delete(id);
    this.ledger.close(id);
    if (this.entries.size > 0) return;
    clearInterval(this.sweeper);
    this.sweeper = undefined;
  }

  private sweep(): void {
    const now = performance.now();
    for (const [id, entry] of this.entries) {
      const {peer} = entry;
      entry.unread = followUnread(entry.unread, peer.unreadBytes(), now);
      if (isUnread(entry.unread, now)) {
        this.end(id, 'unread');
        continue;
      }
      const partialBytes = peer.partialBytes();
      this.ledger.add(id, partialBytes - entry.partialBytes);
      entry.partialBytes = partialBytes;
    }
    this.enforce();
  }
}

/** Budget of servers that are given none. */
export const DEFAULT_BUDGET = new PeerBudget();
