import {expect} from 'chai';
import {CellError, type VmId, type ZoneId} from '@primrosewick/state';
import {systemClock, type LinkCaller} from '@primrosewick/transport';
import {GatewayTask} from './task.js';

const [A, B] = ['a', 'b'] as VmId[] as [VmId, VmId];
const HELLO = {
  vm: 'own' as VmId,
  zone: 'z' as ZoneId,
  node: null,
  hasState: false,
  mayFound: false,
};

/** A gateway that has discovered the leader A; the spec answers its calls. */
const makeGateway = async (
  answer: (to: VmId, nth: number) => Promise<unknown>,
): Promise<GatewayTask> => {
  let count = 0;
  const peers = {
    call: (to: VmId, method: string) =>
      method === 'hello'
        ? Promise.resolve({
            ...HELLO,
            vm: A,
            leader: A,
            members: [A, B],
            isServing: true,
            isReadable: true,
            index: 0,
          })
        : answer(to, ++count),
  } as unknown as LinkCaller;
  const gateway = new GatewayTask({
    peers,
    clock: systemClock,
    seeds: [A],
    hello: () => HELLO,
    zone: 'z' as ZoneId,
    onContact: () => undefined,
  });
  gateway.start();
  await new Promise(resolve => setImmediate(resolve));
  gateway.stop();
  return gateway;
};

const get = {kind: 'get' as const, host: 'h', path: '/'};
const call = (gateway: GatewayTask, forMs: number) =>
  gateway.callLeader('workflow', get, performance.now() + forMs);
const codeOf = (call: Promise<unknown>): Promise<string> =>
  call.then(
    () => 'answered',
    (err: CellError) => `${err.code} ${err.outcome}`,
  );

describe('gateway', () => {
  it('a call is redirected to the VM that leads', async () => {
    const gateway = await makeGateway(async to =>
      to === A
        ? {kind: 'not_leader', leader: B}
        : {kind: 'ok', value: {kind: 'accepted'}},
    );
    expect(await call(gateway, 500)).to.eql({kind: 'accepted'});
  });
  it('a call that reached no VM fails with outcome not_run', async () => {
    const gateway = await makeGateway(async () => {
      throw new CellError({code: 'peer_unreachable', step: 'call'});
    });
    expect(await codeOf(call(gateway, 150))).to.equal(
      'log_unavailable not_run',
    );
  });
  it('after one unknown outcome a later refusal does not report not_run', async () => {
    const gateway = await makeGateway(async (to, nth) => {
      if (nth === 1) throw new CellError({code: 'peer_timeout', step: 'call'});
      throw new CellError({code: 'queue_full', step: 'call', peer: to});
    });
    expect(await codeOf(call(gateway, 250))).to.equal(
      'log_outcome_unknown unknown',
    );
  });
  it('a call with a lasting unknown outcome fails after 1 to 2 s, before its deadline', async () => {
    const gateway = await makeGateway(async () => {
      throw new CellError({code: 'peer_timeout', step: 'call'});
    });
    const startedAt = performance.now();
    expect(await codeOf(call(gateway, 3000))).to.equal(
      'log_outcome_unknown unknown',
    );
    expect(performance.now() - startedAt).to.be.within(1000, 2000);
  });
  it('a call that comes to nothing is answered by its deadline', async () => {
    const gateway = await makeGateway(
      (_to, nth) =>
        new Promise((_resolve, reject) =>
          setTimeout(
            () => reject(new CellError({code: 'peer_timeout', step: 'call'})),
            nth === 1 ? 200 : 40,
          ),
        ),
    );
    const startedAt = performance.now();
    expect(await codeOf(call(gateway, 210))).to.equal(
      'log_outcome_unknown unknown',
    );
    expect(performance.now() - startedAt).to.be.lessThan(230);
  });
  it('a call without an answer is retried and its answer returned', async () => {
    const gateway = await makeGateway(async (to, nth) => {
      if (nth === 1) throw new CellError({code: 'peer_timeout', step: 'call'});
      return {kind: 'ok', value: {kind: 'accepted'}};
    });
    expect(await call(gateway, 500)).to.eql({kind: 'accepted'});
  });
  // Guards against a submission that goes to a new leader though its client has gone.
  it('a call whose caller has gone is not sent again, and not sent at all if it had gone', async () => {
    const sent: number[] = [];
    const controller = new AbortController();
    const gateway = await makeGateway(async (_to, nth) => {
      sent.push(nth);
      controller.abort();
      throw new CellError({code: 'peer_timeout', step: 'call'});
    });
    const callUntilGone = (): Promise<string> => {
      const deadline = performance.now() + 500;
      const {signal} = controller;
      return codeOf(gateway.callLeader('workflow', get, deadline, signal));
    };
    expect(await callUntilGone()).to.equal('client_gone unknown');
    expect(await callUntilGone()).to.equal('client_gone not_run');
    expect(sent).to.eql([1]);
  });
  it('a refusal that is not retryable is returned at once', async () => {
    const gateway = await makeGateway(async () => {
      throw new CellError({code: 'queue_full', step: 'call'});
    });
    const startedAt = performance.now();
    expect(await codeOf(call(gateway, 2000))).to.equal('queue_full not_run');
    expect(performance.now() - startedAt).to.be.lessThan(500);
  });
});
