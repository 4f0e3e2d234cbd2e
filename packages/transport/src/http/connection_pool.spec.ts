import type {RequestListener} from 'node:http';
import {expect} from 'chai';
import {callHttp} from './client.js';
import {ConnectionPool, type SilentConnections} from './connection_pool.js';
import {SilentServer} from './fixtures.js';

const TIMEOUT_MS = 400;
const CONNECTIONS = 12;

/** Answers after the time that the request asks for. */
const answer: RequestListener = (req, res) => {
  const delayMs = Number(req.headers['x-delay-ms'] ?? 0);
  req.resume().on('end', () => setTimeout(() => res.end('ok'), delayMs));
};

describe('connection pool', () => {
  let server: SilentServer;
  let pool: ConnectionPool;
  let address: string;
  let closed: SilentConnections[];

  beforeEach(async () => {
    server = new SilentServer(answer);
    address = await server.listen();
    closed = [];
    pool = new ConnectionPool({
      maxConnections: CONNECTIONS,
      onSilent: event => closed.push(event),
    });
  });
  afterEach(() => {
    pool.close();
    server.close();
  });

  const call = (delayMs = 0, timeoutMs = TIMEOUT_MS): Promise<string> =>
    callHttp({
      address,
      method: 'POST',
      path: '/',
      headers: {'x-delay-ms': String(delayMs)},
      timeoutMs,
      maxResponseBytes: 1000,
      pool,
    }).then(
      ({body}) => body.toString(),
      err => (err as {kind: string}).kind,
    );

  /** Opens as many connections as the pool keeps. */
  const fill = () =>
    Promise.all(Array.from({length: CONNECTIONS}, () => call(20)));

  // Guards against LOST: each of 12 silent connections was waited out, one after the other.
  it('one call without an answer closes all silent connections', async () => {
    await fill();
    server.silence();
    expect(await call()).to.equal('timeout');
    expect(await call()).to.equal('ok');
    expect(closed).to.have.length(1);
    expect(closed[0]).to.include({address, idleCount: 11, busyCount: 0});
  });
  it('a second silence while the first is waited out costs one more call', async () => {
    await fill();
    server.silence();
    const first = call();
    await new Promise(resolve => setTimeout(resolve, TIMEOUT_MS / 2));
    server.silence();
    expect(await first).to.equal('timeout');
    expect(await fill()).to.eql(Array(CONNECTIONS).fill('ok'));
    server.silence();
    expect([await call(), await call()]).to.eql(['timeout', 'ok']);
  });
  it('calls in flight on silent connections do not wait out their own timeouts', async () => {
    await fill();
    server.silence();
    const beganAt = performance.now();
    const others = [call(0, 5000), call(0, 5000), call(0, 5000)];
    expect(await call()).to.equal('timeout');
    expect(await Promise.all(others)).to.eql(['lost', 'lost', 'lost']);
    expect(performance.now() - beganAt).to.be.below(2 * TIMEOUT_MS);
    expect(closed[0]).to.include({busyCount: 3});
  });
  it('a connection that was heard meanwhile is kept', async () => {
    await fill();
    server.silence(1);
    const answers = await Promise.all(
      Array.from({length: CONNECTIONS}, () => call()),
    );
    expect(answers.sort()).to.eql([
      ...Array(CONNECTIONS - 1).fill('ok'),
      'timeout',
    ]);
    expect(closed).to.eql([]);
    expect(await call()).to.equal('ok');
    expect(server.sockets.size).to.equal(CONNECTIONS);
  });
  it('a young call is left to its connection', async () => {
    await Promise.all([call(20), call(20)]);
    server.silence(1);
    const slow = Promise.all([call(), call()]);
    await new Promise(resolve => setTimeout(resolve, TIMEOUT_MS - 100));
    const young = call(150);
    expect((await slow).sort()).to.eql(['ok', 'timeout']);
    expect(await young).to.equal('ok');
  });
  it('calls without a pool of their own share one that does the same', async () => {
    const callWithout = (delayMs = 0): Promise<string> =>
      callHttp({
        address,
        method: 'GET',
        path: '/',
        headers: {'x-delay-ms': String(delayMs)},
        timeoutMs: TIMEOUT_MS,
        maxResponseBytes: 1000,
      }).then(
        () => 'ok',
        (err: {kind: string}) => err.kind,
      );
    await Promise.all([callWithout(20), callWithout(20), callWithout(20)]);
    server.silence();
    expect(await callWithout()).to.equal('timeout');
    expect(await callWithout()).to.equal('ok');
  });
  it('a connection that could not be made closes no other', async () => {
    await fill();
    server.close();
    await call();
    expect(closed).to.eql([]);
  });
});
