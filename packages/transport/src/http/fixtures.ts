/** Stand-ins for servers whose connections fail. */
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** A server whose connections can be made to answer nothing, while new ones work. */
export class SilentServer {
  readonly sockets = new Set<Socket>();
  private readonly silent = new WeakSet<Socket>();
  private readonly server: Server;

  constructor(answer: RequestListener) {
    this.server = createServer((req, res) => {
      const respond = res.end.bind(res) as typeof res.end;
      res.end = ((...args: Parameters<typeof res.end>) =>
        this.silent.has(req.socket) ? res : respond(...args)) as never;
      answer(req, res);
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => this.sockets.add(socket));
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Silences the connections that there are. */
  silence(count = this.sockets.size): void {
    for (const socket of [...this.sockets].slice(0, count))
      this.silent.add(socket);
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}
