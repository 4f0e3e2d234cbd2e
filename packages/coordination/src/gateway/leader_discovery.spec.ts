import {expect} from 'chai';
import type {LinkHello} from '@primrosewick/protocol';
import type {VmId, ZoneId} from '@primrosewick/state';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {GatewayTask} from './task.js';

describe('leader discovery', () => {
  it('a VM with an unanswered hello is not sent another', async () => {
    let waiting = 0;
    let maxWaiting = 0;
    const peers = {
      call: async () => {
        maxWaiting = Math.max(maxWaiting, ++waiting);
        await pause(systemClock, 700);
        waiting--;
        throw new Error('no answer');
      },
    } as unknown as LinkCaller;
    const gateway = new GatewayTask({
      peers,
      clock: systemClock,
      seeds: ['late' as VmId],
      hello: () => ({}) as LinkHello,
      zone: 'z' as ZoneId,
      onContact: () => undefined,
    });
    gateway.start();
    await pause(systemClock, 650);
    gateway.stop();
    expect(maxWaiting).to.equal(1);
  });
});
