import {Client, Server, ServerCredentials, credentials} from '@grpc/grpc-js';
import {encodeLinkFrame} from '@primrosewick/protocol';
import {asId, type VmId} from '@primrosewick/state';
import {expect} from 'chai';
import {LinkClient} from './client.js';
import {freeAddress} from './fixtures.js';
import {LinkServer, type LinkHandlers} from './server.js';
import {LINK_PATH} from './service.js';

const CELL = 'cell';
const bytesOf = (frame: unknown): Buffer => encodeLinkFrame(frame as never);
const asIs = (bytes: Buffer): Buffer => bytes;
const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** Malformed frames and frames of a later version. */
const INVALID_FRAMES: ReadonlyArray<readonly [string, Buffer]> = [
  ['no bytes', Buffer.alloc(0)],
  ['bytes that cannot be decoded', Buffer.from([0xc1, 0xff])],
  ['null', bytesOf(null)],
  ['a number', bytesOf(7)],
  ['an unknown kind', bytesOf({kind: 'of_a_later_version'})],
  ['a call without a method', bytesOf({kind: 'call', id: 1})],
  ['an error without a reason', bytesOf({kind: 'error', id: 1})],
  [
    'an error of a later version',
    bytesOf({kind: 'error', id: 1, error: {code: 'of_a_later_version'}}),
  ],
];

const cleanUps: Array<() => void> = [];
const newClient = (): LinkClient => {
  const client = new LinkClient({
    cell: CELL,
    vm: asId<VmId>('a'),
    onBytes: () => undefined,
  });
  cleanUps.push(() => client.close());
  return client;
};

/** Starts a link server that answers each `hello`. */
const listen = async (): Promise<VmId> => {
  const address = await freeAddress();
  const handlers = {hello: async () => 'welcome'};
  const server = new LinkServer({
    address,
    cell: CELL,
    handlers: handlers as unknown as LinkHandlers,
    onRefusal: () => undefined,
  });
  cleanUps.push(() => server.close());
  await server.listen();
  return address;
};

/** Sends raw bytes as a frame, after a valid `open` frame. */
const send = (address: VmId, bytes: Buffer): void => {
  const client = new Client(address, credentials.createInsecure());
  cleanUps.push(() => client.close());
  const stream = client.makeBidiStreamRequest(LINK_PATH, asIs, asIs);
  stream.on('error', () => undefined).on('data', () => undefined);
  stream.write(bytesOf({kind: 'open', cell: CELL, from: 'odd'}));
  stream.write(bytes);
};

/** Starts a server that sends raw bytes as its second frame, after a `pong`. */
const answerWith = async (bytes: Buffer): Promise<VmId> => {
  const address = await freeAddress();
  const server = new Server();
  const method = {
    path: LINK_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: asIs,
    requestDeserialize: asIs,
    responseSerialize: asIs,
    responseDeserialize: asIs,
  };
  server.addService({open: method} as never, {
    open: (stream: NodeJS.ReadWriteStream) => {
      stream.on('data', () => undefined).on('error', () => undefined);
      stream.write(bytesOf({kind: 'pong'}) as never);
      setTimeout(() => stream.write(bytes as never), 50);
    },
  });
  await new Promise<void>((resolve, reject) =>
    server.bindAsync(address, ServerCredentials.createInsecure(), err =>
      err ? reject(err) : resolve(),
    ),
  );
  cleanUps.push(() => server.forceShutdown());
  return address;
};

describe('malformed and unknown link frames', () => {
  afterEach(() => cleanUps.splice(0).forEach(cleanUp => cleanUp()));

  for (const [name, bytes] of INVALID_FRAMES) {
    it(`${name}: a server that receives it keeps serving`, async () => {
      const address = await listen();
      send(address, bytes);
      await pause(100);
      const answer = await newClient().call(address, 'hello', {} as never);
      expect(answer).to.equal('welcome');
    });
    it(`${name}: a client that receives it fails the call without crashing`, async () => {
      const address = await answerWith(bytes);
      const outcome = await newClient()
        .call(address, 'hello', {} as never, {timeoutMs: 300})
        .then(
          () => 'answered',
          () => 'failed',
        );
      expect(outcome).to.equal('failed');
    });
  }
});
