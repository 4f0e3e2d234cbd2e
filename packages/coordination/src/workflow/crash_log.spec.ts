import {expect} from 'chai';
import type Logger from 'bunyan';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {CrashLog, type RemoveWorker} from './crash_log.js';

/** Crashes two workers under the only task of workflow a. */
const linesOfCrashes = () => {
  const log = new TestLog();
  const lines: object[] = [];
  const logger = {info: (line: object) => lines.push(line)};
  const crashLog = new CrashLog(logger as unknown as Logger, log.db);
  log.submit('a', testSpec([testStep()]));
  for (const run of [1, 2]) {
    const life = {worker: `w${run}` as never, bornAt: 1};
    const task = testTask('a', 0, 0);
    log.addWorker(life.worker);
    const starts = [{...life, task, run}];
    log.apply({kind: 'start_runs', starts, at: 100 * run});
    const command: RemoveWorker = {
      kind: 'remove_worker',
      life,
      runs: [{task, run, checkpoint: ''}],
      crash: {at: 100 * run + 50, heardAt: 100 * run + 10, togetherCount: 0},
    };
    log.apply(command);
    crashLog.note(command);
  }
  return {lines, index: log.db.index};
};

describe('crash log', () => {
  it('a workflow that is given up is told with its task, workers and times', () => {
    const {lines, index} = linesOfCrashes();
    const crash = {
      bornAt: 1,
      isSole: true,
      groupSize: 1,
      isTogether: false,
    };
    expect(lines.at(-1)).to.eql({
      decision: 'workflow_given_up',
      req: 'a',
      outcome: 'failed',
      task: 'a.0.0.0',
      deaths: 2,
      crashes: [
        {...crash, worker: 'w1', at: 150},
        {...crash, worker: 'w2', at: 250},
      ],
      index,
    });
  });
  it('each crash is told once, with what is suspected', () => {
    const [first] = linesOfCrashes().lines;
    expect(first).to.eql({
      change: 'worker_crashed',
      worker: 'w1',
      bornAt: 1,
      suspectCount: 1,
      suspects: ['a.0.0.0'],
      togetherCount: 0,
    });
  });
});
