/** Sends malformed HTTP to a server in this process. */
import {connect, createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {callHttp} from '../client.js';
import {HttpServer} from '../server.js';
import {PeerBudget} from './task.js';

const RUNS = 60;
const SETTLE_MS = 5000;
/** Time for which a connection waits for the server to close it, in ms. */
const STAY_MS = 15;

const freeAddress = (): Promise<string> =>
  new Promise(resolve => {
    const probe = createServer().listen(0, '127.0.0.1', () => {
      const {port} = probe.address() as AddressInfo;
      probe.close(() => resolve(`127.0.0.1:${port}`));
    });
  });

/** Sends parts over one connection, and closes it. */
const send = (address: string, parts: readonly Buffer[]): Promise<void> =>
  new Promise(resolve => {
    const [host, port] = address.split(':');
    const socket = connect({host: host!, port: Number(port)});
    socket.on('error', () => undefined).on('close', () => resolve());
    socket.resume();
    for (const part of parts) socket.write(part);
    setTimeout(() => socket.destroy(), STAY_MS);
  });

/** Pieces of HTTP, sound and not, that are joined in any order. */
const piece = fc.oneof(
  fc.constantFrom(
    'GET / HTTP/1.1\r\n',
    'POST /echo HTTP/1.1\r\n',
    'Host: a\r\n',
    'Content-Length: 5\r\n',
    'Content-Length: -1\r\n',
    'Content-Length: 99999999999\r\n',
    'Transfer-Encoding: chunked\r\n',
    'Expect: 100-continue\r\n',
    'Connection: Upgrade\r\nUpgrade: x\r\n',
    '\r\n',
    '5\r\nhello\r\n',
    '0\r\n\r\n',
    'ffffffffffffffff\r\n',
    'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n',
    'GET //[ HTTP/1.1\r\nHost: a\r\n\r\n',
    'GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(100),
    '1\r\nx\r\n'.repeat(5000),
    `X: ${'y'.repeat(9000)}\r\n`,
  ),
  fc.string({maxLength: 20}),
);
const partOf = fc.oneof(
  piece.map(text => Buffer.from(text, 'latin1')),
  fc.uint8Array({maxLength: 40}).map(bytes => Buffer.from(bytes)),
);

describe('malformed HTTP', () => {
  // Guards against a request that ends the process, or whose connection stays.
  it('is answered or closed; nothing is thrown, and no connection leaks', async () => {
    const address = await freeAddress();
    const budget = new PeerBudget();
    const server = new HttpServer({
      address,
      budget,
      limits: {headerBytes: 8192, bodyBytes: 1000, bodyMs: 200, connections: 9},
      routes: [
        {
          method: '*',
          pattern: '/echo',
          handler: async ({readBytes}) => ({
            status: 200,
            body: await readBytes(),
          }),
        },
      ],
      onRefusal: () => undefined,
    });
    await server.listen();
    const thrown: unknown[] = [];
    const note = (err: unknown): void => void thrown.push(err);
    process.on('unhandledRejection', note);
    try {
      await fc.assert(
        fc.asyncProperty(
          fc.array(partOf, {minLength: 1, maxLength: 12}),
          parts => send(address, parts),
        ),
        {numRuns: RUNS},
      );
      const answer = await callHttp({
        address,
        method: 'POST',
        path: '/echo',
        body: Buffer.from('whole'),
        timeoutMs: SETTLE_MS,
        maxResponseBytes: 1000,
      });
      expect(answer.body.toString()).to.equal('whole');
      const until = performance.now() + SETTLE_MS;
      // The connection of the last call is kept.
      while (budget.connections > 1 && performance.now() < until)
        await new Promise(resolve => setTimeout(resolve, 20));
      expect(budget.connections).to.be.at.most(1);
      expect(budget.heldBytes).to.be.below(20_000);
      expect(thrown).to.eql([]);
    } finally {
      process.off('unhandledRejection', note);
      void server.close();
      server.destroy();
    }
  });
});
