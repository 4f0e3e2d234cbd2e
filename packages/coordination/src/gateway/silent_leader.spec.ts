import {expect} from 'chai';
import {
  CellError,
  type VmId,
  type WorkerId,
  type ZoneId,
} from '@primrosewick/state';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {GatewayTask} from './task.js';

const [OLD, NEW] = ['old', 'new'] as VmId[] as [VmId, VmId];
const OWN = {
  vm: 'own' as VmId,
  zone: 'z' as ZoneId,
  node: null,
  hasState: false,
  mayFound: false,
};
const TIMEOUT_MS = 2900;

/** Never answers; fails as a link does when the time of a call is over. */
const silence = async (): Promise<never> => {
  await pause(systemClock, TIMEOUT_MS);
  throw new CellError({code: 'peer_timeout', step: 'call'});
};

/** A leader that falls silent, and a VM that leads after a while. */
class TwoVms {
  isOldSilent = false;
  isNewLeading = false;
  readonly calls: VmId[] = [];

  readonly caller = {
    call: async (vm: VmId, method: string) => {
      if (method !== 'hello') this.calls.push(vm);
      if (vm === OLD && this.isOldSilent) return silence();
      return method === 'hello'
        ? this.hello(vm)
        : {kind: 'ok', value: 'accepted'};
    },
  } as unknown as LinkCaller;

  private hello(vm: VmId) {
    return {
      ...OWN,
      vm,
      leader: this.isNewLeading ? NEW : OLD,
      members: [OLD, NEW],
      isServing: vm === OLD || this.isNewLeading,
      isReadable: true,
      index: 0,
    };
  }
}

describe('a leader that falls silent', () => {
  it('a call is made again at its successor as soon as one is known', async () => {
    const vms = new TwoVms();
    const gateway = new GatewayTask({
      peers: vms.caller,
      clock: systemClock,
      seeds: [OLD, NEW],
      hello: () => OWN,
      zone: OWN.zone,
      onContact: () => undefined,
    });
    gateway.start();
    await pause(systemClock, 50);
    vms.isOldSilent = true;
    setTimeout(() => (vms.isNewLeading = true), 1200);
    const startedAt = performance.now();
    const answer = await gateway.callLeader(
      'removeWorker',
      {worker: 'w' as WorkerId, bornAt: null},
      startedAt + TIMEOUT_MS,
    );
    gateway.stop();
    expect(answer).to.equal('accepted');
    expect(vms.calls).to.eql([OLD, NEW]);
    expect(performance.now() - startedAt).to.be.lessThan(2000);
  });
});
