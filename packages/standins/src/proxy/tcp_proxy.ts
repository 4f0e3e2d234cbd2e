/** TCP forwarder on the loopback interface that disturbs what passes through it. */
import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {splitAddress} from '@primrosewick/transport';

/** Which bytes a disturbance concerns. */
export type Direction = 'to_target' | 'to_caller' | 'both';

/** What happens to the connections of a proxy from now on. */
export type Disturbance =
  /**
   * On the connections that exist, nothing passes in this direction any more;
   * neither side is told, also when the other one ends. New ones work. The
   * system still confirms what is sent to the proxy, so only a time-out of the
   * caller's own shows it.
   */
  | {readonly kind: 'silence'; readonly direction: Direction}
  /** The connections that exist are reset. */
  | {readonly kind: 'reset'}
  /** Connections are refused until `accept`; those that exist are reset. */
  | {readonly kind: 'refuse'}
  /** Connections are accepted again. */
  | {readonly kind: 'accept'}
  /** Nothing passes on any connection until `join`; nothing is lost. */
  | {readonly kind: 'cut'}
  | {readonly kind: 'join'}
  /** What passes is held up for this time; 0 for none. */
  | {readonly kind: 'delay'; readonly delayMs: number};

/** Addresses of a proxy. */
export interface TcpProxyOptions {
  /** Address that callers connect to. */
  readonly address: string;
  /** Address that their connections are forwarded to. */
  readonly target: string;
}

/** Forwards connections to one target. */
export class TcpProxy {
  private readonly pairs = new Set<ConnectionPair>();
  private server: Server | undefined;
  private isCut = false;
  private delayMs = 0;

  private constructor(private readonly options: TcpProxyOptions) {}

  /** Starts a proxy. */
  static async listen(options: TcpProxyOptions): Promise<TcpProxy> {
    const proxy = new TcpProxy(options);
    await proxy.accept();
    return proxy;
  }

  /** Number of connections that are open or silent. */
  get connections(): number {
    return this.pairs.size;
  }

  /** Disturbs the connections. */
  async disturb(disturbance: Disturbance): Promise<void> {
    switch (disturbance.kind) {
      case 'silence':
        for (const pair of this.pairs) pair.silence(disturbance.direction);
        return;
      case 'reset':
        return this.reset();
      case 'refuse':
        return this.close();
      case 'accept':
        return this.accept();
      case 'cut':
        return this.setCut(true);
      case 'join':
        return this.setCut(false);
      case 'delay':
        this.delayMs = disturbance.delayMs;
        return;
      default:
        return disturbance satisfies never;
    }
  }

  /** Resets all connections and refuses new ones. */
  async close(): Promise<void> {
    const {server} = this;
    this.server = undefined;
    const closed = server && once(server, 'close');
    server?.close();
    this.reset();
    await closed;
  }

  private async accept(): Promise<void> {
    if (this.server) return;
    const server = createServer({allowHalfOpen: true}, caller =>
      this.forward(caller),
    );
    this.server = server;
    const {host, port} = splitAddress(this.options.address);
    server.listen(port, host);
    await once(server, 'listening');
  }

  private forward(caller: Socket): void {
    const target = connect({
      ...splitAddress(this.options.target),
      allowHalfOpen: true,
    });
    const pair = new ConnectionPair(caller, target, () => this.delayMs);
    this.pairs.add(pair);
    pair.onClosed = () => this.pairs.delete(pair);
    pair.setCut(this.isCut);
  }

  private setCut(isCut: boolean): void {
    this.isCut = isCut;
    for (const pair of this.pairs) pair.setCut(isCut);
  }

  private reset(): void {
    for (const pair of this.pairs) pair.reset();
  }
}

/** One connection of a caller, and the one that it is forwarded on. */
class ConnectionPair {
  private readonly silent = new Set<Socket>();
  onClosed: () => void = () => undefined;

  constructor(
    private readonly caller: Socket,
    private readonly target: Socket,
    private readonly delayMs: () => number,
  ) {
    this.pass(caller, target);
    this.pass(target, caller);
  }

  /** Passes nothing more in this direction. */
  silence(direction: Direction): void {
    if (direction !== 'to_caller') this.silent.add(this.target);
    if (direction !== 'to_target') this.silent.add(this.caller);
  }

  /** Stops or resumes what passes. */
  setCut(isCut: boolean): void {
    for (const socket of [this.caller, this.target])
      if (isCut) socket.pause();
      else socket.resume();
  }

  /** Resets both connections. */
  reset(): void {
    for (const socket of [this.caller, this.target]) socket.resetAndDestroy();
  }

  private pass(from: Socket, to: Socket): void {
    const whenDue = async (act: () => void): Promise<void> => {
      if (this.delayMs() > 0) await wait(this.delayMs());
      if (!this.silent.has(to) && !to.destroyed) act();
    };
    from.setNoDelay(true);
    from.on('data', (part: Buffer) => void whenDue(() => to.write(part)));
    from.on('end', () => void whenDue(() => to.end()));
    from.on('error', () => void whenDue(() => to.resetAndDestroy()));
    from.on('close', () => {
      if (this.caller.destroyed && this.target.destroyed) this.onClosed();
    });
  }
}
