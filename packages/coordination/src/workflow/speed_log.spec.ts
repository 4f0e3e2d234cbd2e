import type Logger from 'bunyan';
import {WorkflowDb} from '@primrosewick/state';
import {expect} from 'chai';
import {SPEED_INTERVAL_MS, SpeedLog} from './speed_log.js';

describe('log of speeds', () => {
  it('a line is written once speeds are known, and then at intervals', () => {
    const lines: object[] = [];
    const logger = {
      info: (line: object) => lines.push(line),
    } as never as Logger;
    const {estimates} = new WorkflowDb();
    const log = new SpeedLog(logger, {estimates});
    log.note(0);
    expect(lines).to.eql([]);
    estimates.speeds.restore({
      workers: [
        ['w1' as never, 1, Math.log(0.5), 1e6, 0, 0],
        ['w2' as never, 1, Math.log(2), 1e6, 0, 0],
      ],
      noise: 0.01,
    });
    for (let now = 0; now < 2 * SPEED_INTERVAL_MS; now += 2000) log.note(now);
    const line = {
      decision: 'speeds',
      isUneven: true,
      slowest: 0.5,
      fastest: 2,
      known: 2,
      slow: 1,
      fast: 1,
      learnedTimes: 0,
    };
    expect(lines).to.eql([line, line]);
  });
});
