import {MAX_LINK_FRAME_BYTES} from '@primrosewick/protocol';
import {asId, toCellError, type VmId} from '@primrosewick/state';
import {expect} from 'chai';
import {LinkClient} from './client.js';
import {freeAddress} from './fixtures.js';
import {LinkServer, type LinkHandlers} from './server.js';

const CELL = 'cell';
const LARGE = 'l'.repeat(MAX_LINK_FRAME_BYTES);

const cleanUps: Array<() => void> = [];

/** A client and a server; a call of `getBundle` is answered with a large text. */
const connect = async () => {
  const address = await freeAddress();
  let closed = 0;
  const handlers = {
    hello: async () => 'welcome',
    readIndex: () =>
      new Promise(resolve => setTimeout(() => resolve('index'), 100)),
    getBundle: async () => LARGE,
  };
  const server = new LinkServer({
    address,
    cell: CELL,
    handlers: handlers as unknown as LinkHandlers,
    onRefusal: () => undefined,
    onDisconnected: () => closed++,
  });
  await server.listen();
  const client = new LinkClient({
    cell: CELL,
    vm: asId<VmId>('a'),
    onBytes: () => undefined,
  });
  cleanUps.push(
    () => client.close(),
    () => server.close(),
  );
  await client.call(address, 'hello', {} as never);
  return {address, client, closedStreams: () => closed};
};

const failureOf = (call: Promise<unknown>) =>
  call.then(
    () => expect.fail('the call was answered'),
    (err: unknown) => toCellError(err, 'call'),
  );

describe('frames that are too large', () => {
  afterEach(() => cleanUps.splice(0).forEach(cleanUp => cleanUp()));

  // Guards against a large configuration that breaks the stream of all other calls.
  it('a call that exceeds a frame is refused, and the other calls are answered', async () => {
    const {address, client, closedStreams} = await connect();
    const other = client.call(address, 'readIndex', {} as never);
    const err = await failureOf(
      client.call(address, 'putBundle', {bundle: LARGE} as never),
    );
    expect(err).to.include({code: 'body_too_large', outcome: 'not_run'});
    expect(await other).to.equal('index');
    expect(closedStreams()).to.equal(0);
  });
  it('an answer that exceeds a frame is an error, and the other calls are answered', async () => {
    const {address, client, closedStreams} = await connect();
    const other = client.call(address, 'readIndex', {} as never);
    const err = await failureOf(client.call(address, 'getBundle', {}));
    expect(err.code).to.equal('answer_too_large');
    expect(await other).to.equal('index');
    expect(closedStreams()).to.equal(0);
  });
});
