import {
  LINK_METHODS,
  type LinkMethod,
  type LinkMethods,
} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';
import {startInterval, type Timer} from '../tasks/timers.js';
import {
  LinkConnection,
  PROBE_INTERVAL_MS,
  type CallOptions,
} from './connection.js';

/** Calls other VMs; tests substitute a fake network. */
export interface LinkCaller {
  /**
   * Calls a method of another VM, whose id is its address.
   * @throws CellError `peer_unreachable`, `peer_timeout` or the peer's reason.
   */
  call<M extends LinkMethod>(
    to: VmId,
    method: M,
    request: LinkMethods[M]['request'],
    options?: Partial<CallOptions>,
  ): Promise<LinkMethods[M]['reply']>;
}

/** Options of `LinkClient`. */
export interface LinkClientOptions {
  readonly cell: string;
  readonly vm: VmId;
  readonly onBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

/** Calls other VMs over one stream each. */
export class LinkClient implements LinkCaller {
  private readonly connections = new Map<VmId, LinkConnection>();
  /** Streams that may be silent, with calls that wait for an answer. */
  private readonly replaced = new Set<LinkConnection>();
  /** Shared by all streams, since a timer per stream would keep waking an idle VM. */
  private livenessTimer: Timer | undefined;

  constructor(private readonly options: LinkClientOptions) {}

  async call<M extends LinkMethod>(
    to: VmId,
    method: M,
    request: LinkMethods[M]['request'],
    options: Partial<CallOptions> = {},
  ): Promise<LinkMethods[M]['reply']> {
    const {deadlineMs: timeoutMs, isUrgent} = LINK_METHODS[method];
    if (isUrgent) this.replaceIfSilent(to);
    const reply = await this.connectionTo(to).call(method, request, {
      timeoutMs,
      ...options,
    });
    return reply as LinkMethods[M]['reply'];
  }

  /** Closes all streams. */
  close(): void {
    for (const connection of this.all) connection.close('stopping');
  }

  private get all(): readonly LinkConnection[] {
    return [...this.connections.values(), ...this.replaced];
  }

  /** Lets calls go over another stream; this one is kept for the calls that wait on it. */
  private replaceIfSilent(to: VmId): void {
    const known = this.connections.get(to);
    if (!known?.shouldReplace()) return;
    this.connections.delete(to);
    this.replaced.add(known);
  }

  private connectionTo(to: VmId): LinkConnection {
    const known = this.connections.get(to);
    if (known) return known;
    const {cell, vm, onBytes} = this.options;
    const connection: LinkConnection = new LinkConnection({
      cell,
      from: vm,
      to,
      onBytes,
      onClosed: () => this.drop(to, connection),
    });
    this.connections.set(to, connection);
    this.livenessTimer ??= startInterval(
      PROBE_INTERVAL_MS,
      () => this.checkLiveness(),
      () => this.isLivenessCheckDue(),
    );
    return connection;
  }

  private drop(to: VmId, connection: LinkConnection): void {
    if (this.connections.get(to) === connection) this.connections.delete(to);
    this.replaced.delete(connection);
    if (this.connections.size + this.replaced.size > 0) return;
    this.livenessTimer?.cancel();
    this.livenessTimer = undefined;
  }

  /** Streams may go silent together: while one is suspect, idle ones are probed early. */
  private checkLiveness(): void {
    const now = performance.now();
    for (const connection of [...this.replaced])
      if (!connection.hasCalls) connection.close('replaced');
    const connections = this.all;
    const isOneSuspect = connections.some(connection =>
      connection.isSuspect(now),
    );
    for (const connection of connections) {
      connection.checkLiveness();
      if (isOneSuspect) connection.probeIfIdle(now);
    }
  }

  private isLivenessCheckDue(): boolean {
    if (this.replaced.size > 0) return true;
    const now = performance.now();
    for (const connection of this.connections.values())
      if (connection.isLivenessCheckDue(now)) return true;
    return false;
  }
}
