import type Logger from 'bunyan';
import {expect} from 'chai';
import {AdviceQueueLog} from './advice_queue_log.js';

describe('calls for advice that wait', () => {
  it('logs the step of the oldest queued call, at most every 2 s', () => {
    const lines: object[] = [];
    const logger = {info: (line: object) => lines.push(line)};
    const log = new AdviceQueueLog(logger as unknown as Logger);
    const call = (workflow: string, wantedAt: number) => ({
      step: {workflow, occurrence: 0, step: 0} as never,
      wantedAt,
      costMs: 700,
    });
    const calls = {underWay: 30, callers: 43};
    log.note({now: 0, waiting: [], ...calls});
    const waiting = [call('b', 900), call('a', 100)];
    for (const now of [1000, 2999]) log.note({now, waiting, ...calls});
    expect(lines).to.eql([
      {
        change: 'advice_queue',
        waiting: 2,
        ...calls,
        oldest: 'a.0.0',
        oldestMs: 900,
        costMs: 700,
      },
    ]);
    log.note({now: 3000, waiting, ...calls});
    expect(lines).to.have.length(2);
  });
});
