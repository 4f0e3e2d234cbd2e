import {createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {VmSettings} from '@primrosewick/protocol';
import {
  asId,
  type CellError,
  type CellId,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {SilentProxy} from '../link/silent_proxy.js';
import {PeerClient} from './client.js';
import {PeerServer, type PeerHandlers} from './server.js';

const CELL = asId<CellId>('cell');
const [OWN, PEER] = ['a', 'b'].map(vm => asId<VmId>(vm)) as [VmId, VmId];
const ZONE = asId<ZoneId>('z');
/** Deadline of the method that is called, and a margin, in ms. */
const BOUND_MS = 700 + 300;

const freeAddress = async (): Promise<string> => {
  const probe = createServer();
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
  const {port} = probe.address() as AddressInfo;
  await new Promise(resolve => probe.close(resolve));
  return `127.0.0.1:${port}`;
};

describe('calls to a daemon whose connections go silent', () => {
  let proxy: SilentProxy;
  let server: PeerServer;
  let client: PeerClient;
  let delayMs = 0;

  beforeEach(async () => {
    delayMs = 0;
    const address = await freeAddress();
    proxy = await SilentProxy.open(address);
    const answer = (): Promise<unknown> =>
      new Promise(resolve => setTimeout(resolve, delayMs, {}));
    server = new PeerServer({
      address,
      cell: CELL,
      vm: PEER,
      handlers: {authority: answer, hello: answer} as unknown as PeerHandlers,
      onRefusal: () => undefined,
    });
    await server.listen();
    const vms = [{vm: PEER, zone: ZONE, peer: proxy.address}];
    client = new PeerClient({
      cell: CELL,
      vm: OWN,
      zone: ZONE,
      vms: vms as unknown as VmSettings[],
      onBytes: () => undefined,
    });
  });
  afterEach(() => {
    client.close();
    server.close();
    proxy.close();
  });

  const call = (method: 'authority' | 'hello' = 'authority') =>
    client.call(PEER, method, {} as never).then(
      () => 'answered',
      (err: CellError) => err.code as string,
    );

  // Guards against a connection that stayed silent until the kernel gave it up.
  it('one call meets its deadline, and the next is answered; twice', async () => {
    expect(await call()).to.equal('answered');
    for (let i = 0; i < 2; i++) {
      proxy.silence();
      const beganAt = performance.now();
      expect(await call()).to.equal('peer_timeout');
      expect(await call()).to.equal('answered');
      expect(performance.now() - beganAt).to.be.below(BOUND_MS);
    }
    expect(proxy.opened).to.equal(3);
  });
  it('calls in flight on a silent connection do not wait out their own deadlines', async () => {
    expect(await call()).to.equal('answered');
    proxy.silence();
    const beganAt = performance.now();
    const long = call('hello');
    expect(await call()).to.equal('peer_timeout');
    expect(await long).to.equal('peer_timeout');
    expect(performance.now() - beganAt).to.be.below(900);
  });
  it('a slow call among answered ones keeps the connection', async () => {
    delayMs = 900;
    const slow = call();
    await new Promise(resolve => setTimeout(resolve, 100));
    delayMs = 0;
    expect(await call('hello')).to.equal('answered');
    expect(await slow).to.equal('peer_timeout');
    expect(await call()).to.equal('answered');
    expect(proxy.opened).to.equal(1);
  });
});
