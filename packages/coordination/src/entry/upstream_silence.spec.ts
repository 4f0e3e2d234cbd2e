import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {expect} from 'chai';
import {asId, type HolderId, type UpstreamId} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {HttpUpstreamPort} from './upstream_port.js';

const ATTEMPT_MS = 400;
const CONNECTIONS = 6;

describe('an upstream whose connections go silent', () => {
  const silent = new WeakSet<Socket>();
  const sockets = new Set<Socket>();
  let delayMs = 0;
  let server: Server;
  let upstreams: HttpUpstreamPort;
  let address: string;

  beforeEach(async () => {
    delayMs = 20;
    server = createServer((req, res) => {
      const answer = (): void => {
        if (!silent.has(req.socket)) res.end('done');
      };
      req.resume().on('end', () => setTimeout(answer, delayMs));
    });
    server.on('connection', socket => sockets.add(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    upstreams = new HttpUpstreamPort({
      clock: systemClock,
      maxAnswerBytes: 1000,
      attemptMs: ATTEMPT_MS,
    });
  });
  afterEach(() => {
    upstreams.close();
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    server.close();
  });

  const send = async (): Promise<string> => {
    const {kind} = await upstreams.send({
      attempt: 'q1/1',
      upstream: asId<UpstreamId>('up0'),
      address,
      holder: asId<HolderId>('a0.1'),
      request: {method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0)},
      sendBefore: Number.POSITIVE_INFINITY,
    });
    return kind;
  };
  const sendAll = (): Promise<string[]> =>
    Promise.all(Array.from({length: CONNECTIONS}, send));

  // Each kept connection was found silent by an attempt of its own.
  it('one attempt without an answer is enough, twice', async () => {
    for (let i = 0; i < 2; i++) {
      await sendAll();
      for (const socket of sockets) silent.add(socket);
      expect(await send()).to.equal('lost');
      expect(await sendAll()).to.eql(Array(CONNECTIONS).fill('answered'));
    }
  });
  it('attempts in flight at a slow upstream are left to their own time', async () => {
    await sendAll();
    delayMs = ATTEMPT_MS + 200;
    const slow = send();
    await new Promise(resolve => setTimeout(resolve, ATTEMPT_MS - 270));
    delayMs = ATTEMPT_MS - 50;
    const other = send();
    expect(await slow).to.equal('lost');
    expect(await other).to.equal('answered');
  });
});
