/**
 * Connections of one leader to the workers, kept as its HTTP client keeps them: a
 * call takes the idle connection that was used last, opens one, or waits for one.
 */
import {ConnectionTable} from '@primrosewick/transport';

/** How connections are kept. */
export type ConnectionPolicy =
  /** They are not: each call opens one. */
  | 'one_a_call'
  /** A call without an answer closes those that have gone silent, as `ConnectionPool` does. */
  | 'closed_together'
  /** A call without an answer closes its own; each silent one costs a call. */
  | 'each_by_itself';

/** Options of {@link SimConnections}. */
export interface SimConnectionsOptions {
  /** Virtual time, in ms. */
  readonly now: () => number;
  readonly policy: ConnectionPolicy;
}

/** A call, and what becomes of it. */
export interface CallOptions {
  /** Time for which the worker is asked to wait before it responds, in ms. */
  readonly waitMs: number;
  /** It is sent over a connection. */
  readonly onSent: (connection: SimConnection) => void;
  /** Its connection closes before an answer. */
  readonly onLost: () => void;
}

/** One connection. */
export class SimConnection {
  /** Whether nothing goes through it any more, in either direction. */
  isMuted = false;
}

/** One call, from its begin to its end. */
export interface SimCall {
  /** Notes that its answer arrives. */
  noteAnswer(): void;
  /** Notes that its connection was refused. */
  noteRefusal(): void;
  /** Gives it up; @returns whether it was sent. */
  giveUp(): boolean;
}

/** Maximum number of connections to one address, as in the platform's client. */
const MAX_CONNECTIONS = 12;

/** All connections of one leader, by address. */
export class SimConnections {
  private readonly byAddress = new Map<string, AddressConnections>();

  constructor(private readonly options: SimConnectionsOptions) {}

  /** Begins a call, which is sent at once or when a connection is free. */
  begin(address: string, options: CallOptions): SimCall {
    const known =
      this.byAddress.get(address) ?? new AddressConnections(this.options);
    this.byAddress.set(address, known);
    return known.begin(options);
  }

  /** Mutes the connections that there are, to one address or to all. */
  mute(address?: string): void {
    for (const [known, connections] of this.byAddress)
      if (address === undefined || known === address) connections.mute();
  }

  /** Closes the connections to an address that have no call in flight. */
  closeIdle(address: string): void {
    this.byAddress.get(address)?.closeIdle();
  }

  /** Closes all connections to an address; the calls in flight fail. */
  closeAll(address: string): void {
    this.byAddress.get(address)?.closeAll();
  }
}

/** Connections to one address. */
class AddressConnections {
  private readonly table = new ConnectionTable<SimConnection>();
  private readonly idle: SimConnection[] = [];
  private readonly busy = new Map<SimConnection, PendingCall>();
  private waiting: PendingCall[] = [];

  constructor(private readonly options: SimConnectionsOptions) {}

  begin(options: CallOptions): PendingCall {
    const call = new PendingCall(this, options);
    this.waiting.push(call);
    this.sendWaiting();
    return call;
  }

  mute(): void {
    for (const connection of [...this.idle, ...this.busy.keys()])
      connection.isMuted = true;
  }

  closeIdle(): void {
    for (const connection of [...this.idle]) this.close(connection);
  }

  closeAll(): void {
    this.closeIdle();
    for (const connection of [...this.busy.keys()]) this.close(connection);
    this.sendWaiting();
  }

  noteAnswer(connection: SimConnection): void {
    this.table.noteHeard(connection, this.options.now());
    this.busy.delete(connection);
    if (this.options.policy === 'one_a_call') this.close(connection);
    else this.idle.push(connection);
    this.sendWaiting();
  }

  noteNoAnswer(connection: SimConnection, waitMs: number): void {
    const {now, policy} = this.options;
    const {idle, busy} = this.table.findSilent(connection, now(), waitMs);
    this.close(connection);
    if (policy === 'closed_together')
      for (const silent of [...idle, ...busy]) this.close(silent);
    this.sendWaiting();
  }

  noteRefusal(connection: SimConnection): void {
    this.close(connection);
    this.sendWaiting();
  }

  dropWaiting(call: PendingCall): void {
    this.waiting = this.waiting.filter(other => other !== call);
  }

  private close(connection: SimConnection): void {
    const at = this.idle.indexOf(connection);
    if (at >= 0) this.idle.splice(at, 1);
    const call = this.busy.get(connection);
    this.busy.delete(connection);
    this.table.forget(connection);
    call?.lose();
  }

  private sendWaiting(): void {
    for (;;) {
      if (this.waiting.length === 0) return;
      const connection = this.takeConnection();
      if (!connection) return;
      const call = this.waiting.shift()!;
      this.busy.set(connection, call);
      this.table.noteSent(connection, this.options.now());
      call.send(connection);
    }
  }

  private takeConnection(): SimConnection | undefined {
    const idle = this.idle.pop();
    if (idle) return idle;
    const isKept = this.options.policy !== 'one_a_call';
    if (isKept && this.busy.size >= MAX_CONNECTIONS) return undefined;
    return new SimConnection();
  }
}

/** A call that waits for a connection, is in flight, or is over. */
class PendingCall implements SimCall {
  private connection: SimConnection | undefined;
  private isOver = false;

  constructor(
    private readonly owner: AddressConnections,
    private readonly options: CallOptions,
  ) {}

  send(connection: SimConnection): void {
    this.connection = connection;
    this.options.onSent(connection);
  }

  lose(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.options.onLost();
  }

  noteAnswer(): void {
    if (this.isOver || !this.connection) return;
    this.isOver = true;
    this.owner.noteAnswer(this.connection);
  }

  noteRefusal(): void {
    if (this.isOver || !this.connection) return;
    this.isOver = true;
    this.owner.noteRefusal(this.connection);
  }

  giveUp(): boolean {
    if (this.isOver) return true;
    this.isOver = true;
    const {waitMs} = this.options;
    if (this.connection) this.owner.noteNoAnswer(this.connection, waitMs);
    else this.owner.dropWaiting(this);
    return this.connection !== undefined;
  }
}
