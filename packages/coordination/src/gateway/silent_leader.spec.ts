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
  /** Whether new calls to the old leader fail at once. */
  isOldUnreachable = false;
  isNewLeading = false;
  readonly calls: VmId[] = [];

  readonly caller = {
    call: async (vm: VmId, method: string) => {
      if (method !== 'hello') this.calls.push(vm);
      if (vm === OLD && this.isOldUnreachable)
        throw new CellError({code: 'peer_unreachable', step: 'call'});
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

/** Runs an action with a gateway in contact with the old leader. */
const withGateway = async (
  vms: TwoVms,
  action: (gateway: GatewayTask) => Promise<void>,
): Promise<void> => {
  const gateway = new GatewayTask({
    peers: vms.caller,
    clock: systemClock,
    seeds: [OLD, NEW],
    hello: () => OWN,
    zone: OWN.zone,
    onContact: () => undefined,
  });
  gateway.start();
  try {
    await pause(systemClock, 50);
    await action(gateway);
  } finally {
    gateway.stop();
  }
};

const remove = (gateway: GatewayTask) =>
  gateway.callLeader(
    'removeWorker',
    {worker: 'w' as WorkerId, bornAt: 1},
    performance.now() + TIMEOUT_MS,
  );

describe('a leader that falls silent', () => {
  it('a call is made again at its successor as soon as one is known', () => {
    const vms = new TwoVms();
    return withGateway(vms, async gateway => {
      vms.isOldSilent = true;
      setTimeout(() => (vms.isNewLeading = true), 1200);
      const startedAt = performance.now();
      expect(await remove(gateway)).to.equal('accepted');
      expect(vms.calls).to.eql([OLD, NEW]);
      expect(performance.now() - startedAt).to.be.lessThan(2000);
    });
  });
  it('a call that waits is made again once another call finds the leader gone', () => {
    const vms = new TwoVms();
    return withGateway(vms, async gateway => {
      vms.isOldSilent = true;
      const startedAt = performance.now();
      const waiting = remove(gateway);
      await pause(systemClock, 50);
      vms.isOldUnreachable = true;
      vms.isNewLeading = true;
      expect(await remove(gateway)).to.equal('accepted');
      expect(await waiting).to.equal('accepted');
      expect(performance.now() - startedAt).to.be.lessThan(900);
    });
  });
});
