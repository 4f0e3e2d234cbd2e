/**
 * One connection of an HTTP server: bounds the requests that are sent ahead and
 * accounts for what they hold.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {noteRead} from './collector.js';
import {decideAhead, mayStart, type PipelineState} from './core.js';
import type {BudgetedPeer, PeerBudget} from './task.js';
import {REQUEST_BYTES, type ConnectionId, type ServerId} from './types.js';

/** A request that was parsed. */
interface TakenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly account: RequestAccount;
}

/** Options of {@link PeerConnection}. */
export interface PeerConnectionOptions {
  readonly socket: Socket;
  readonly budget: PeerBudget;
  readonly server: ServerId;
  /** Connections that the server accepts. */
  readonly maxOfServer: number;
  /** Headers that the server accepts, in bytes. */
  readonly maxHeaderBytes: number;
  /** Handles one request. */
  readonly start: (
    req: IncomingMessage,
    res: ServerResponse,
    account: RequestAccount,
  ) => void;
}

/** Accounts for one request until its response is sent. */
export class RequestAccount {
  private held = 0;
  private unsent = 0;
  private isReleased = false;

  constructor(
    private readonly connection: PeerConnection,
    bytes: number,
  ) {
    this.connection.noteParsed(1);
    this.charge(bytes);
  }

  /** Adds bytes; negative where they are let go. */
  charge(bytes: number): void {
    this.held += bytes;
    this.connection.charge(bytes);
  }

  /** Lets go of all bytes. */
  release(): void {
    if (!this.isReleased) this.connection.noteParsed(-1);
    this.isReleased = true;
    this.charge(-this.held);
    this.connection.addUnsent(-this.unsent);
    this.unsent = 0;
  }

  /** Lets a body be rejected while it is read; @returns a function that ends this. */
  addBody(reject: () => void): () => void {
    return this.connection.addBody(reject);
  }

  /** Starts no further request, as the connection is closed after a response. */
  endInput(): void {
    this.connection.endInput();
  }

  /** Accounts for bytes of the response until they are handed to the network. */
  addUnsent(bytes: number): void {
    this.unsent += bytes;
    this.connection.addUnsent(bytes);
    this.charge(bytes);
  }
}

/** A connection whose requests and responses count against the budget. */
export class PeerConnection implements BudgetedPeer {
  readonly socket: Socket;
  private readonly id: ConnectionId | undefined;
  private readonly waiting: TakenRequest[] = [];
  /** Requests that were parsed and are not released yet. */
  private readonly accounts = new Set<RequestAccount>();
  private isEnding = false;
  private isStarting = false;
  private started = 0;
  /** Bytes of responses that are not handed to the network yet. */
  private unsentBytes = 0;
  /** Bytes that the peer had sent when its last request was parsed. */
  private parsedBytes = 0;
  /** Reject the bodies that are being read. */
  private bodies: Set<() => void> | undefined;

  constructor(private readonly options: PeerConnectionOptions) {
    const {socket, budget, server, maxOfServer} = options;
    this.socket = socket;
    this.id = budget.open(this, server, maxOfServer);
    guardParser(socket, () => this.admit());
    socket.once('close', () => this.releaseAll());
  }

  /** Decides on a request whose headers were parsed, before Node makes a response for it. */
  private admit(): Admission {
    const {id, socket} = this;
    if (id === undefined || socket.destroyed) return 'stop';
    if (this.isEnding) return 'drop';
    if (decideAhead(this.state()) !== 'close') return 'take';
    noteRead((this.waiting.length + 1) * REQUEST_BYTES);
    this.options.budget.end(id, 'pipeline');
    return 'stop';
  }

  /** Takes a request that was admitted. */
  take(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = this;
    const decision = decideAhead(this.state());
    const {bytesRead} = socket;
    const arrivedBytes = bytesRead - this.parsedBytes;
    this.parsedBytes = bytesRead;
    const headerBytes = Math.min(arrivedBytes, this.options.maxHeaderBytes);
    const account = new RequestAccount(this, REQUEST_BYTES + headerBytes);
    this.accounts.add(account);
    if (socket.destroyed) return;
    this.waiting.push({req, res, account});
    if (decision === 'start') this.startSoon();
  }

  /** Starts no further request, as the connection is closed after a response. */
  endInput(): void {
    this.isEnding = true;
  }

  /** Accounts for bytes of a body or response; negative where they are let go. */
  charge(bytes: number): void {
    if (this.id !== undefined) this.options.budget.charge(this.id, bytes);
  }

  /** Notes that a request was parsed (1) or is released (-1). */
  noteParsed(change: 1 | -1): void {
    this.options.budget.noteParsed(change);
  }

  /** Adds to the bytes of responses that are not handed to the network yet. */
  addUnsent(bytes: number): void {
    this.unsentBytes += bytes;
  }

  /** Lets a body be rejected while it is read; @returns a function that ends this. */
  addBody(reject: () => void): () => void {
    const bodies = (this.bodies ??= new Set());
    bodies.add(reject);
    return () => void bodies.delete(reject);
  }

  /** @inheritdoc */
  rejectBody(): boolean {
    const bodies = [...(this.bodies ?? [])];
    for (const reject of bodies) reject();
    return bodies.length > 0;
  }

  /** @inheritdoc */
  unreadBytes(): number {
    return Math.max(this.unsentBytes, this.socket.writableLength);
  }

  /** @inheritdoc */
  partialBytes(): number {
    if (this.started > 0) return 0;
    const bytes = this.socket.bytesRead - this.parsedBytes;
    return Math.min(bytes, this.options.maxHeaderBytes);
  }

  private begin({req, res, account}: TakenRequest): void {
    const id = this.id!;
    this.started++;
    this.options.budget.noteRequest(id, 1);
    res.once('close', () => {
      this.started--;
      this.options.budget.noteRequest(id, -1);
      account.release();
      this.accounts.delete(account);
      this.parsedBytes = this.socket.bytesRead;
      this.startWaiting();
    });
    this.options.start(req, res, account);
  }

  /**
   * Releases all requests, as the connection is gone: some never start, and Node closes
   * no response that waits for an earlier one.
   */
  private releaseAll(): void {
    this.waiting.length = 0;
    for (const account of this.accounts) account.release();
    this.accounts.clear();
  }

  /**
   * Starts requests once all reads of this turn of the event loop have been parsed, as
   * the connection may be closed for what follows. The queue of next ticks runs between
   * the requests of one read, after each part of a body.
   */
  private startSoon(): void {
    if (this.isStarting) return;
    this.isStarting = true;
    setImmediate(startWaiting, this);
  }

  /** Starts requests that wait, as far as may be. */
  startWaiting(): void {
    this.isStarting = false;
    if (this.socket.destroyed || this.isEnding) return;
    while (this.waiting.length > 0 && mayStart(this.state()))
      this.begin(this.waiting.shift()!);
  }

  private state(): PipelineState {
    return {
      started: this.started,
      startedInAll: this.options.budget.startedRequests,
      parsedInAll: this.options.budget.parsedRequests,
      waiting: this.waiting.length,
      unreadBytes: this.unreadBytes(),
    };
  }
}

/** What becomes of a request whose headers were parsed. */
type Admission = 'take' | 'drop' | 'stop';

type OnIncoming = (req: IncomingMessage, shouldKeepAlive: boolean) => number;

/** The part of Node's parser that is used here. */
interface HttpParser {
  /** Called with the headers of each request; makes the response. */
  onIncoming: OnIncoming;
}

/** Result of `onIncoming` after which the body is read. */
const READ_BODY = 0;
/** Result of `onIncoming` after which the rest of a read isn't parsed, as for an upgrade. */
const STOP_PARSING = 2;

/**
 * Has each request admitted before Node sees it: Node answers some by itself. A read may
 * hold hundreds, whose objects stay until the connection has closed; 900 connections
 * filled a heap of 80 MB this way.
 */
const guardParser = (socket: Socket, admit: () => Admission): void => {
  const {parser} = socket as {parser?: HttpParser | null};
  if (!parser) return;
  const {onIncoming} = parser;
  parser.onIncoming = (req, shouldKeepAlive) => {
    switch (admit()) {
      case 'take':
        return onIncoming(req, shouldKeepAlive);
      case 'drop':
        req.resume();
        return READ_BODY;
      case 'stop':
        return STOP_PARSING;
    }
  };
};

const startWaiting = (connection: PeerConnection): void =>
  connection.startWaiting();

/** Bytes of the parsed headers of a request. */
export const headerBytesOf = ({rawHeaders, url}: IncomingMessage): number => {
  let bytes = url?.length ?? 0;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
};
