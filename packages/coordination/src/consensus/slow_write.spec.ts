import {expect} from 'chai';
import {pause, systemClock} from '@primrosewick/transport';
import {makePair, startPair, turns} from './fixtures.js';

/** Duration of a write; many heartbeats are due within it, in ms. */
const WRITE_MS = 300;

describe('a leader whose write takes long', () => {
  it('keeps sending heartbeats, so that no follower takes it for lost', async () => {
    let calls = 0;
    const pair = makePair({
      onCall: from => {
        if (from === 'a~1') calls++;
      },
    });
    const {tasks, leader, disk} = pair;
    try {
      await startPair(pair);
      await pause(systemClock, 20);
      disk.isHolding = true;
      const written = leader.propose('held');
      await turns(20);
      calls = 0;
      await pause(systemClock, WRITE_MS);
      expect(disk.open).to.equal(1);
      expect(calls).to.be.within(4, 20);
      disk.isHolding = false;
      disk.release();
      await written;
      expect(leader.status.role).to.equal('leader');
    } finally {
      for (const task of tasks) task.stop();
    }
  }).timeout(5000);
  it('falls silent when its disk hangs, so that another is elected', async () => {
    let lastCallAt = 0;
    const pair = makePair({
      onCall: from => {
        if (from === 'a~1') lastCallAt = systemClock.now();
      },
    });
    const {tasks, leader, disk} = pair;
    try {
      await startPair(pair);
      disk.isHolding = true;
      leader.propose('held').catch(() => undefined);
      const hungAt = systemClock.now();
      await pause(systemClock, 3600);
      expect(lastCallAt - hungAt).to.be.within(2500, 3200);
    } finally {
      for (const task of tasks) task.stop();
    }
  }).timeout(8000);
});
