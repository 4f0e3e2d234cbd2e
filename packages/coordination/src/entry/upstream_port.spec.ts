import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {asId, type HolderId, type UpstreamId} from '@primrosewick/state';
import {systemClock, type Clock} from '@primrosewick/transport';
import type {AttemptResult} from './types.js';
import {HttpUpstreamPort} from './upstream_port.js';

const SEND_BEFORE = 100;

/** A clock that returns the given times in turn, and then the last one forever. */
const clockOf = (...times: number[]): Clock => ({
  ...systemClock,
  now: () => (times.length > 1 ? times.shift()! : times[0]!),
});

/** Sends one attempt to an upstream that counts the requests it receives. */
const sendOnce = async (
  clock: Clock,
): Promise<{result: AttemptResult; arrived: number}> => {
  let arrived = 0;
  const server: Server = createServer((_req, res) => {
    arrived++;
    res.end('done');
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const options = {clock, maxAnswerBytes: 1000, attemptMs: 5000};
  const upstreams = new HttpUpstreamPort(options);
  const result = await upstreams.send({
    attempt: 'q1/1',
    upstream: asId<UpstreamId>('up0'),
    address: `127.0.0.1:${port}`,
    holder: asId<HolderId>('a0.1'),
    request: {
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from('body'),
    },
    sendBefore: SEND_BEFORE,
  });
  upstreams.close();
  server.close();
  return {result, arrived};
};

describe('upstream port', () => {
  it('sends an attempt while its share is valid', async () => {
    const {result, arrived} = await sendOnce(clockOf(0));
    expect(result.kind).to.equal('answered');
    expect(arrived).to.equal(1);
  });
  it('sends nothing when the share expired while it connected', async () => {
    const {result, arrived} = await sendOnce(clockOf(0, SEND_BEFORE));
    expect(result.kind).to.equal('unreachable');
    expect(arrived).to.equal(0);
  });
});
