import {createServer, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {asId, type VmId, type ZoneId} from '@primrosewick/state';
import {LinkClient} from './client.js';

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
});
