/**
 * Overhead of a request through an entry, compared with a direct call to the
 * stand-in upstream.
 */
import {Agent} from 'node:http';
import {Cell, freePorts, waitUntil} from '@primrosewick/standins';
import {callHttp, callJson} from '@primrosewick/transport';
import {plainProfile} from '../world/profiles.js';
import {quantile, round, type Table} from './report.js';

const CALL_COUNT = 3000;
const CONCURRENCIES = [1, 16];

interface Target {
  readonly name: string;
  readonly address: string;
  readonly path: string;
  readonly headers: Record<string, string>;
}

const measure = async (
  {name, address, path, headers}: Target,
  parallel: number,
): Promise<Array<string | number>> => {
  const agent = new Agent({keepAlive: true, maxSockets: parallel});
  const tookMs: number[] = [];
  let remaining = CALL_COUNT;
  const startedAt = performance.now();
  const runCaller = async (): Promise<void> => {
    while (remaining-- > 0) {
      const before = performance.now();
      await callHttp({
        address,
        method: 'GET',
        path,
        headers,
        agent,
        timeoutMs: 10_000,
        maxResponseBytes: 1 << 20,
      });
      tookMs.push(performance.now() - before);
    }
  };
  await Promise.all(Array.from({length: parallel}, runCaller));
  const rate = (1000 * CALL_COUNT) / (performance.now() - startedAt);
  agent.destroy();
  return [
    name,
    parallel,
    round(quantile(tookMs, 0.5), 2),
    round(quantile(tookMs, 0.99), 2),
    Math.round(rate),
  ];
};

/**
 * Measures latency and throughput of direct requests and of requests through
 * one entry.
 */
export const benchEntry = async (): Promise<Table> => {
  const cell = await Cell.create({
    cell: 'bench',
    vms: [{vm: 'a1', zone: 'a', disk: true}],
  });
  try {
    const address = await startCellWithUpstream(cell);
    const {upstream} = await callJson<{upstream: string}>({
      address,
      method: 'GET',
      path: '/stats',
      timeoutMs: 2000,
    });
    const direct: Target = {
      name: 'direct',
      address,
      path: '/check?ms=0',
      headers: {'primrosewick-upstream': upstream},
    };
    const entry: Target = {
      name: 'through an entry',
      address: cell.getVm('a1').client,
      path: '/v1/services/booking-desk/requests/check?ms=0',
      headers: {},
    };
    for (const target of [direct, entry]) await measure(target, 8);
    const rows = [];
    for (const parallel of CONCURRENCIES)
      for (const target of [direct, entry])
        rows.push(await measure(target, parallel));
    return {
      heading: 'Cost of a request through an entry',
      columns: ['path', 'in parallel', 'p50 ms', 'p99 ms', 'requests a second'],
      rows,
    };
  } finally {
    await cell.destroy();
  }
};

const startCellWithUpstream = async (cell: Cell): Promise<string> => {
  cell.startDaemon('a1');
  await cell.waitUntilReady('a1', 30_000);
  const file = cell.writeDocument('desk.jsonc', plainProfile('booking-desk'));
  await cell.runOperatorCommand('a1', ['profile', 'put', file]);
  await cell.runOperatorCommand('a1', [
    'service',
    'put',
    'booking-desk',
    '--profile',
    'booking-desk',
  ]);
  const [port] = await freePorts(1);
  const address = `127.0.0.1:${port}`;
  cell.startStandin('up', 'upstream', {
    zone: 'a',
    entries: cell.platformAddressesOf('a'),
    address,
    service: 'booking-desk',
    slots: '64',
  });
  const path = '/v1/services/booking-desk/requests/check?ms=0';
  await waitUntil(30_000, async () => {
    const response = await callHttp({
      address: cell.getVm('a1').client,
      method: 'GET',
      path,
      timeoutMs: 3000,
      maxResponseBytes: 4096,
    }).catch(() => undefined);
    return response?.status === 200;
  });
  return address;
};
