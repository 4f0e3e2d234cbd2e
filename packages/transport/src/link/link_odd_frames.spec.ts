import {createServer, type AddressInfo} from 'node:net';
import {Client, Metadata, credentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {encodeLinkFrame} from '@primrosewick/protocol';
import type {CellError} from '@primrosewick/state';
import {LinkServer, type LinkHandlers} from './server.js';
import {LINK_PATH} from './service.js';

const listen = async (onRefusal: (err: CellError) => void) => {
  const probe = createServer();
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
  const {port} = probe.address() as AddressInfo;
  await new Promise(resolve => probe.close(resolve));
  const address = `127.0.0.1:${port}`;
  const handlers = {} as LinkHandlers;
  const server = new LinkServer({address, cell: 'cell', handlers, onRefusal});
  await server.listen();
  return {address, server};
};

const encode = (frame: object): Buffer =>
  Buffer.from(encodeLinkFrame(frame as never));

/** Sends frames to a server; @returns the number of its frames and its refusals. */
const replyCountTo = async (frames: readonly object[]) => {
  const refusals: string[] = [];
  const {address, server} = await listen(err => refusals.push(err.code));
  const client = new Client(address, credentials.createInsecure());
  const stream = client.makeBidiStreamRequest<Buffer, Buffer>(
    LINK_PATH,
    bytes => bytes,
    bytes => bytes,
    new Metadata(),
  );
  let count = 0;
  stream.on('error', () => undefined);
  const opened = new Promise<void>(resolve =>
    stream.on('data', () => {
      count++;
      resolve();
    }),
  );
  stream.write(encode({kind: 'open', cell: 'cell', from: 'a:1'}));
  await opened;
  for (const frame of frames) stream.write(encode(frame));
  await new Promise(resolve => setTimeout(resolve, 500));
  stream.cancel();
  client.close();
  server.close();
  return {count, refusals};
};

describe('odd frames', () => {
  it('a frame of an unknown kind is refused, and the stream goes on', async () => {
    const frames = [{kind: 'odd'}, {kind: 'ping'}];
    expect(await replyCountTo(frames)).to.eql({
      count: 2,
      refusals: ['invalid_input'],
    });
  });
});
