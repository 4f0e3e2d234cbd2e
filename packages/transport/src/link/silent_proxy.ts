/**
 * A TCP proxy on loopback for tests. Its connections can go silent for good, in one
 * direction or both, without a reset, while new ones work.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {asId, type VmId} from '@primrosewick/state';

/** Which bytes of a silent connection are dropped. */
export type SilentDirection = 'requests' | 'answers' | 'both';

interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  silence: SilentDirection | undefined;
}

/** Forwards bytes to one address. */
export class SilentProxy {
  /** Whether new connections are silent from the start. */
  isSilentAtOpen = false;
  /** Connections that were opened. */
  opened = 0;
  private readonly connections = new Set<ProxiedConnection>();
  private readonly server: Server;

  private constructor(private readonly target: string) {
    this.server = createServer(near => this.forward(near));
  }

  /** Opens a proxy on a free port. */
  static async open(target: string): Promise<SilentProxy> {
    const proxy = new SilentProxy(target);
    await new Promise<void>(resolve =>
      proxy.server.listen(0, '127.0.0.1', resolve),
    );
    return proxy;
  }

  /** Address that callers use. */
  get address(): VmId {
    const {port} = this.server.address() as AddressInfo;
    return asId<VmId>(`127.0.0.1:${port}`);
  }

  /** Connections whose caller has not closed them. */
  get openCount(): number {
    return [...this.connections].filter(({near}) => !near.destroyed).length;
  }

  /** Connections that the target has not closed. */
  get openAtTarget(): number {
    return [...this.connections].filter(({far}) => !far.destroyed).length;
  }

  /** Silences the connections that there are; neither side learns of it. */
  silence(direction: SilentDirection = 'both'): void {
    for (const connection of this.connections) connection.silence ??= direction;
  }

  /** Holds up the bytes of the connections that there are, for a time in ms. */
  pause(durationMs: number): void {
    const sockets = [...this.connections].flatMap(({near, far}) => [near, far]);
    for (const socket of sockets) socket.pause();
    setTimeout(() => {
      for (const socket of sockets) socket.resume();
    }, durationMs);
  }

  /** Closes all connections, and accepts no more. */
  close(): void {
    this.server.close();
    for (const {near, far} of this.connections) {
      near.destroy();
      far.destroy();
    }
  }

  private forward(near: Socket): void {
    this.opened++;
    const [host, port] = this.target.split(':') as [string, string];
    const far = connect(Number(port), host);
    const silence = this.isSilentAtOpen ? 'both' : undefined;
    const connection: ProxiedConnection = {near, far, silence};
    this.connections.add(connection);
    near.on('data', bytes => {
      const {silence} = connection;
      if (silence !== 'requests' && silence !== 'both') far.write(bytes);
    });
    far.on('data', bytes => {
      const {silence} = connection;
      if (silence !== 'answers' && silence !== 'both') near.write(bytes);
    });
    // The end of a silent connection is not told either.
    const end = (other: Socket) => () => {
      if (!connection.silence) other.destroy();
    };
    near.on('error', () => undefined).on('close', end(far));
    far.on('error', () => undefined).on('close', end(near));
  }
}
