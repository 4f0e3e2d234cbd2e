import {connect, createServer, type Socket} from 'node:net';
import {expect} from 'chai';
import {asId, type VmId, type ZoneId} from '@primrosewick/state';
import {LinkClient} from './client.js';
import {freeAddress} from './fixtures.js';
import {LinkServer, type LinkHandlers, type DroppedReply} from './server.js';

const CELL = 'cell';
const HELLO = {
  vm: asId<VmId>('127.0.0.1:1'),
  zone: asId<ZoneId>('z'),
  node: null,
  hasState: false,
  mayFound: false,
};
const HELLO_REPLY = {...HELLO, leader: null, members: [], isServing: true};

/** Closed after each test, even a failed one. */
const toClose: Array<{close(): void}> = [];

const newClient = (vm: string, cell = CELL): LinkClient => {
  const client = new LinkClient({
    cell,
    vm: asId<VmId>(vm),
    onBytes: () => undefined,
  });
  toClose.push(client);
  return client;
};

/**
 * Starts a server that answers `hello` and records disconnected VMs and dropped
 * replies.
 */
const listen = async () => {
  const address = await freeAddress();
  const lost: VmId[] = [];
  const droppedReplies: DroppedReply[] = [];
  const cancelled: AbortSignal[] = [];
  const server = new LinkServer({
    address,
    cell: CELL,
    handlers: {
      hello: async () => HELLO_REPLY,
      workflow: () => new Promise(resolve => setTimeout(resolve, 100)),
      readWorkflow: (
        _query: unknown,
        _from: VmId,
        _deadline: number,
        signal: AbortSignal,
      ) =>
        new Promise(resolve => {
          const answer = {answer: null, index: 7};
          signal.addEventListener('abort', () => {
            cancelled.push(signal);
            resolve(answer);
          });
        }),
    } as unknown as LinkHandlers,
    onRefusal: () => undefined,
    onDisconnected: vm => lost.push(vm),
    onDroppedReply: reply => droppedReplies.push(reply),
  });
  toClose.push(server);
  await server.listen();
  return {address, lost, droppedReplies, cancelled};
};

/**
 * A relay to a server; a connection that transfers data while `isSilent` is set
 * stays silent for good.
 */
const relayTo = async (target: VmId) => {
  const address = await freeAddress();
  const relay = {address, isSilent: false, bytes: 0, close: () => {}};
  const [host, port] = target.split(':') as [string, string];
  const sockets: Socket[] = [];
  const server = createServer(near => {
    const far = connect(Number(port), host);
    let wasSilent = false;
    const forward = (to: Socket) => (bytes: Buffer) => {
      wasSilent ||= relay.isSilent;
      relay.bytes += bytes.length;
      if (!wasSilent) to.write(bytes);
    };
    sockets.push(near, far);
    near.on('data', forward(far)).on('error', () => far.destroy());
    far.on('data', forward(near)).on('error', () => near.destroy());
    near.on('close', () => far.destroy());
  });
  relay.close = () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  toClose.push(relay);
  const [, ownPort] = address.split(':') as [string, string];
  await new Promise<void>(resolve =>
    server.listen(Number(ownPort), '127.0.0.1', resolve),
  );
  return relay;
};

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  for (let i = 0; i < 100 && !isDone(); i++)
    await new Promise(resolve => setTimeout(resolve, 20));
};

describe('link', () => {
  afterEach(() => {
    for (const item of toClose.splice(0)) item.close();
  });

  it('returns the reply to a call', async () => {
    const {address} = await listen();
    const client = newClient('a');
    expect(await client.call(address, 'hello', HELLO)).to.eql(HELLO_REPLY);
  });
  it('reports a VM whose stream closes as disconnected, once', async () => {
    const {address, lost} = await listen();
    const client = newClient('a');
    await client.call(address, 'hello', HELLO);
    client.close();
    await waitUntil(() => lost.length > 0);
    expect(lost).to.eql(['a']);
  });
  it('a VM that has opened a second stream is not lost with the first', async () => {
    const {address, lost} = await listen();
    const first = newClient('a');
    await first.call(address, 'hello', HELLO);
    const second = newClient('a');
    await second.call(address, 'hello', HELLO);
    first.close();
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(lost).to.eql([]);
    second.close();
    await waitUntil(() => lost.length > 0);
    expect(lost).to.eql(['a']);
  });
  it('closes a stream from another cell', async () => {
    const {address} = await listen();
    const client = newClient('a', 'other');
    const code = await client.call(address, 'hello', HELLO).then(
      () => 'answered',
      (err: {readonly code: string}) => err.code,
    );
    expect(code).to.equal('peer_unreachable');
  });
  it('closes a silent stream with an unknown outcome of its call, and the next call opens another', async () => {
    const {address} = await listen();
    const relay = await relayTo(address);
    const client = newClient('a');
    await client.call(relay.address, 'hello', HELLO);
    relay.isSilent = true;
    const startedAt = performance.now();
    const outcome = await client
      .call(relay.address, 'hello', HELLO, {timeoutMs: 5000})
      .then(
        () => 'answered',
        (err: {readonly code: string; readonly outcome: string}) =>
          `${err.code} ${err.outcome}`,
      );
    expect(outcome).to.equal('peer_timeout unknown');
    expect(performance.now() - startedAt).to.be.lessThan(2000);
    relay.isSilent = false;
    expect(await client.call(relay.address, 'hello', HELLO)).to.eql(
      HELLO_REPLY,
    );
  }).timeout(10_000);
  it('sends nothing on an idle stream for 1.2 s', async () => {
    const {address} = await listen();
    const relay = await relayTo(address);
    const client = newClient('a');
    await client.call(relay.address, 'hello', HELLO);
    await new Promise(resolve => setTimeout(resolve, 300));
    const before = relay.bytes;
    await new Promise(resolve => setTimeout(resolve, 1200));
    expect(relay.bytes).to.equal(before);
  }).timeout(10_000);
  it('reports a reply whose caller has disconnected, with its request', async () => {
    const {address, droppedReplies} = await listen();
    const client = newClient('127.0.0.1:1');
    await client.call(address, 'hello', HELLO);
    const request = {kind: 'get' as const, host: 'h', path: '/q/a'};
    const call = client.call(address, 'workflow', request).catch(() => 'gone');
    await new Promise(resolve => setTimeout(resolve, 30));
    client.close();
    expect(await call).to.equal('gone');
    await new Promise(resolve => setTimeout(resolve, 150));
    expect(droppedReplies).to.have.length(1);
    expect(droppedReplies[0]).to.deep.include({
      method: 'workflow',
      body: request,
    });
    expect(droppedReplies[0]!.tookMs).to.be.within(50, 1000);
  });
  it('a call that its caller cancels is answered at once', async () => {
    const {address, cancelled} = await listen();
    const client = newClient('a');
    await client.call(address, 'hello', HELLO);
    const controller = new AbortController();
    const {signal} = controller;
    const query = {host: 'h', path: '/q/a', atLeast: 0};
    const call = client.call(address, 'readWorkflow', query, {
      timeoutMs: 3000,
      signal,
    });
    await new Promise(resolve => setTimeout(resolve, 30));
    expect(cancelled).to.have.length(0);
    controller.abort();
    expect(await call).to.eql({answer: null, index: 7});
  });
  it('calls of a stream that closes are cancelled', async () => {
    const {address, cancelled} = await listen();
    const client = newClient('a');
    await client.call(address, 'hello', HELLO);
    const query = {host: 'h', path: '/q/a', atLeast: 0};
    const call = client
      .call(address, 'readWorkflow', query, {timeoutMs: 3000})
      .catch(() => 'gone');
    await new Promise(resolve => setTimeout(resolve, 30));
    client.close();
    expect(await call).to.equal('gone');
    await waitUntil(() => cancelled.length > 0);
    expect(cancelled).to.have.length(1);
  });
});
