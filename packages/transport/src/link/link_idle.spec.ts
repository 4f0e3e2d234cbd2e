import {createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {asId, type VmId, type ZoneId} from '@primrosewick/state';
import {LinkClient} from './client.js';
import {LinkServer, type LinkHandlers} from './server.js';

const HELLO = {
  vm: asId<VmId>('127.0.0.1:1'),
  zone: asId<ZoneId>('z'),
  node: null,
  hasState: false,
  mayFound: false,
};
const STREAMS = 5;
/** gRPC's own intervals have at least this period, in ms, and are not counted. */
const MIN_GRPC_PERIOD_MS = 10_000;

const listen = async (): Promise<{address: VmId; server: LinkServer}> => {
  const probe = createServer();
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
  const {port} = probe.address() as AddressInfo;
  await new Promise(resolve => probe.close(resolve));
  const address = asId<VmId>(`127.0.0.1:${port}`);
  const server = new LinkServer({
    address,
    cell: 'cell',
    handlers: {hello: async () => HELLO} as unknown as LinkHandlers,
    onRefusal: () => undefined,
  });
  await server.listen();
  return {address, server};
};

/** Counts the active intervals that were set since this call. */
const trackIntervals = (): {count(): number; restore(): void} => {
  const {setInterval: set, clearInterval: clear} = globalThis;
  const live = new Set<unknown>();
  globalThis.setInterval = ((act: () => void, ms: number) => {
    const timer = set(act, ms);
    if (ms < MIN_GRPC_PERIOD_MS) live.add(timer);
    return timer;
  }) as typeof setInterval;
  globalThis.clearInterval = (timer => {
    live.delete(timer);
    clear(timer);
  }) as typeof clearInterval;
  const restore = (): void => {
    globalThis.setInterval = set;
    globalThis.clearInterval = clear;
  };
  return {count: () => live.size, restore};
};

describe('idle links', () => {
  it('share one liveness timer per client, however many streams it has', async () => {
    const servers = await Promise.all(Array.from({length: STREAMS}, listen));
    const intervals = trackIntervals();
    const {vm} = HELLO;
    const client = new LinkClient({cell: 'cell', vm, onBytes: () => undefined});
    try {
      for (const {address} of servers)
        await client.call(address, 'hello', HELLO);
      expect(intervals.count()).to.equal(1);
      client.close();
      expect(intervals.count()).to.equal(0);
    } finally {
      intervals.restore();
      client.close();
      for (const {server} of servers) server.close();
    }
  });
});
