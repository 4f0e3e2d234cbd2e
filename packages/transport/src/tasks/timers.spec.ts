import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import {asId, type VmId, type ZoneId} from '@primrosewick/state';
import {callHttp} from '../http/client.js';
import {LinkClient} from '../link/client.js';
import {systemClock} from './clock.js';

const SERVERS = `
const {parentPort, workerData} = require('node:worker_threads');
const {createServer} = require('node:http');
const main = async () => {
  const {LinkServer} = await import(workerData.link);
  const http = createServer((req, res) =>
    req.resume().on('end', () => setTimeout(() => res.end('late'), 50)),
  );
  await new Promise(resolve => http.listen(0, '127.0.0.1', resolve));
  const probe = createServer();
  await new Promise(resolve => probe.listen(0, '127.0.0.1', resolve));
  const link = '127.0.0.1:' + probe.address().port;
  await new Promise(resolve => probe.close(resolve));
  const answer = request =>
    new Promise(resolve => setTimeout(() => resolve(request), 50));
  await new LinkServer({
    address: link,
    cell: 'cell',
    handlers: {hello: answer},
    onRefusal: () => undefined,
  }).listen();
  parentPort.postMessage({http: '127.0.0.1:' + http.address().port, link});
};
main();
`;

interface Addresses {
  readonly http: string;
  readonly link: VmId;
}

/** Starts servers on another thread, which respond while this one is blocked. */
const startServers = async (): Promise<Addresses & {end(): void}> => {
  const link = new URL('../link/server.js', import.meta.url).href;
  const worker = new Worker(SERVERS, {eval: true, workerData: {link}});
  const addresses = await new Promise<Addresses>((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  return {...addresses, end: () => void worker.terminate()};
};

/**
 * Blocks the event loop like a burst of calls; expired timers run next, before
 * replies are read.
 */
const blockFor = async (ms: number): Promise<void> => {
  await new Promise(resolve => setImmediate(resolve));
  const until = performance.now() + ms;
  while (performance.now() < until);
};
const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

const HELLO = {
  vm: asId<VmId>('127.0.0.1:1'),
  zone: asId<ZoneId>('z'),
  node: null,
  hasState: false,
  mayFound: false,
};

describe('timers while the event loop lags', () => {
  let servers: Awaited<ReturnType<typeof startServers>>;
  before(async () => {
    servers = await startServers();
  });
  after(() => servers.end());

  it('an answer that has arrived is read before its HTTP call times out', async () => {
    const call = callHttp({
      address: servers.http,
      method: 'GET',
      path: '/',
      timeoutMs: 300,
      maxResponseBytes: 100,
    });
    await pause(30);
    await blockFor(600);
    expect((await call).body.toString()).to.equal('late');
  });
  it('a link whose reply is still unread is not closed as silent', async () => {
    const client = new LinkClient({
      cell: 'cell',
      vm: HELLO.vm,
      onBytes: () => undefined,
    });
    try {
      await client.call(servers.link, 'hello', HELLO);
      const call = client.call(servers.link, 'hello', HELLO, {timeoutMs: 900});
      await pause(20);
      await blockFor(1500);
      expect(await call).to.eql(HELLO);
    } finally {
      client.close();
    }
  });
  it('an overdue interval fires after the replies received before it', async () => {
    const seen: string[] = [];
    const ticks = systemClock.every(200).subscribe(() => seen.push('tick'));
    const call = callHttp({
      address: servers.http,
      method: 'GET',
      path: '/',
      timeoutMs: 2000,
      maxResponseBytes: 100,
    }).then(() => seen.push('answer'));
    await pause(20);
    await blockFor(500);
    await call;
    await pause(5);
    ticks.unsubscribe();
    expect(seen[0]).to.equal('answer');
  });
});
