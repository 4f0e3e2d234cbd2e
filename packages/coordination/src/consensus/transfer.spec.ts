import {expect} from 'chai';
import {pause, systemClock} from '@primrosewick/transport';
import {makePair, startPair} from './fixtures.js';

describe('a leader that hands over under load', () => {
  it('its successor is elected although proposals keep coming', async () => {
    const pair = makePair({delayMs: 15});
    const {tasks, leader} = pair;
    const [, successor] = tasks;
    let isOver = false;
    const proposeOn = async (): Promise<void> => {
      while (!isOver) {
        leader.propose('more').catch(() => undefined);
        await pause(systemClock, 2);
      }
    };
    try {
      await startPair(pair);
      const proposals = proposeOn();
      await pause(systemClock, 100);
      leader.transferLeadership();
      await pause(systemClock, 250);
      expect(successor!.status.role).to.equal('leader');
      isOver = true;
      await proposals;
    } finally {
      isOver = true;
      for (const task of tasks) task.stop();
    }
  }).timeout(5000);
});
