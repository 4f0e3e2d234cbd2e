import {expect} from 'chai';
import type Logger from 'bunyan';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {EndLog} from './end_log.js';

/** Ends tasks of workflow a in turn, each end listed at the wall time 2000. */
const linesOf = (log: TestLog, ends: ReadonlyArray<[number, number]>) => {
  const lines: object[] = [];
  const logger = {info: (line: object) => lines.push(line)};
  const endLog = new EndLog(logger as unknown as Logger, log.db);
  for (const [index, wall] of ends) {
    const task = testTask('a', 0, index);
    log.end('w1', task, 'done');
    for (const end of log.db.ended.byLastRecord) endLog.note(end, wall);
  }
  return lines;
};
const startedLog = (taskCount: number): TestLog => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep({taskCount})]));
  for (let index = 0; index < taskCount; index++)
    log.start('w1', testTask('a', 0, index));
  return log;
};

describe('end log', () => {
  it('only the last end of a workflow is logged, with the time until it was recorded', () => {
    const log = startedLog(2);
    const lines = linesOf(log, [
      [0, 2010],
      [1, 2035],
    ]);
    expect(lines).to.eql([
      {
        decision: 'workflow_ended',
        req: 'a',
        queue: 'queue',
        outcome: 'done',
        index: log.db.index,
        lifeMs: 1000,
        isInTime: true,
        stages: {recorded: 35},
      },
    ]);
  });
  it('a run that ends after its workflow was cancelled is not logged', () => {
    const log = startedLog(1);
    log.apply({kind: 'cancel', id: 'a' as never, at: 1500});
    expect(linesOf(log, [[0, 2010]])).to.eql([]);
  });
});
