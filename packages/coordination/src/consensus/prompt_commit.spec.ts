import {expect} from 'chai';
import {makePair, startPair, turns} from './fixtures.js';

describe('commits of a leader that keeps writing', () => {
  it('a commit does not wait for the write of later proposals', async () => {
    const pair = makePair();
    const {tasks, leader, disk} = pair;
    try {
      await startPair(pair);
      await new Promise(resolve => setTimeout(resolve, 20));
      disk.isHolding = true;
      let isCommitted = false;
      const first = leader.propose('first').then(() => (isCommitted = true));
      // The follower's reply arrives while the leader still writes.
      await turns(20);
      expect(disk.open).to.equal(1);
      disk.release();
      const second = leader.propose('second');
      // The write of the second proposal has begun and has not ended.
      while (disk.open === 0) await turns(1);
      await turns(20);
      expect(isCommitted).to.equal(true);
      disk.isHolding = false;
      disk.release();
      await Promise.all([first, second]);
    } finally {
      for (const task of tasks) task.stop();
    }
  }).timeout(5000);
});
