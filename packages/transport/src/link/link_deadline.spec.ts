import {createServer, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {
  asId,
  type CellError,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {LinkClient} from './client.js';
import {LinkServer, type LinkHandlers} from './server.js';

const HELLO = {
  vm: asId<VmId>('127.0.0.1:1'),
  zone: asId<ZoneId>('z'),
  node: null,
  hasState: false,
  mayFound: false,
};

describe('deadline of a call over a link', () => {
  it('a call whose stream does not open is answered by its deadline', async () => {
    const sockets: Socket[] = [];
    const silent = createServer(socket => void sockets.push(socket));
    await new Promise<void>(resolve =>
      silent.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = silent.address() as AddressInfo;
    const client = new LinkClient({
      cell: 'cell',
      vm: HELLO.vm,
      onBytes: () => undefined,
    });
    try {
      const beganAt = performance.now();
      await client
        .call(asId<VmId>(`127.0.0.1:${port}`), 'hello', HELLO, {timeoutMs: 200})
        .catch(() => undefined);
      expect(performance.now() - beganAt).to.be.lessThan(300);
    } finally {
      client.close();
      for (const socket of sockets) socket.destroy();
      silent.close();
    }
  });
  it('a server learns for how long its caller waits', async () => {
    const {client, address, leftMs, close} = await makePair();
    try {
      await client.call(address, 'hello', HELLO, {timeoutMs: 450});
      expect(leftMs[0]).to.be.within(250, 450);
    } finally {
      close();
    }
  });
  it('a call whose time is over is answered without work on it', async () => {
    const {client, address, leftMs, close} = await makePair();
    try {
      await client.call(address, 'hello', HELLO);
      const code = await client
        .call(address, 'hello', HELLO, {timeoutMs: 0.4})
        .catch((err: CellError) => err.code);
      expect(code).to.be.oneOf(['peer_timeout', 'deadline_passed']);
      await new Promise(resolve => setTimeout(resolve, 100));
      expect(leftMs).to.have.length(1);
    } finally {
      close();
    }
  });
});

/** A client, and a server that notes for how long its callers wait, in ms. */
const makePair = async () => {
  const probe = createServer();
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
  const {port} = probe.address() as AddressInfo;
  await new Promise(resolve => probe.close(resolve));
  const address = asId<VmId>(`127.0.0.1:${port}`);
  const leftMs: number[] = [];
  const handlers = {
    hello: async (_request: unknown, _from: unknown, deadline: number) => {
      leftMs.push(deadline - performance.now());
      return HELLO;
    },
  } as unknown as LinkHandlers;
  const server = new LinkServer({
    address,
    cell: 'cell',
    handlers,
    onRefusal: () => undefined,
  });
  await server.listen();
  const client = new LinkClient({
    cell: 'cell',
    vm: HELLO.vm,
    onBytes: () => undefined,
  });
  const close = (): void => {
    client.close();
    server.close();
  };
  return {client, address, leftMs, close};
};
