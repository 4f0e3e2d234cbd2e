import bunyan from 'bunyan';
import {expect} from 'chai';
import {UnsureLog} from './unsure_log.js';

interface Line {
  readonly change: string;
  readonly waitsFor: string;
  readonly waitedMs: number;
  readonly failedCalls: number;
}

const makeLog = () => {
  const lines: Line[] = [];
  const stream = {write: (line: unknown) => void lines.push(line as Line)};
  const logger = bunyan.createLogger({
    name: 'spec',
    streams: [{type: 'raw', stream: stream as never}],
  });
  return {log: new UnsureLog(logger, 'w1' as never), lines};
};

const FAILURE = {kind: 'no_answer', detail: 'timeout'} as const;

const at = (now: number) => ({now, lapseAt: 5000, runCount: 2});

describe('log of unknown runs', () => {
  it('a wait says what it waits for as it begins, goes on and ends', () => {
    const {log, lines} = makeLog();
    log.begin('no answer', at(0));
    for (const now of [500, 1100, 1200, 2200, 5100])
      log.callFailed(FAILURE, at(now));
    log.end(at(5200));
    expect(
      lines.map(({change, waitsFor, waitedMs, failedCalls}) => [
        change,
        waitsFor,
        waitedMs,
        failedCalls,
      ]),
    ).to.eql([
      ['worker_unsure', 'lists or lease', 0, 0],
      ['worker_wait', 'lists or lease', 1100, 2],
      ['worker_wait', 'lists or lease', 2200, 4],
      ['worker_wait', 'lists', 5100, 5],
      ['worker_sure', 'lists', 5200, 5],
    ]);
  });
  it('a worker that a new leader cannot reach has a line after a second', () => {
    const {log, lines} = makeLog();
    log.expect(0);
    for (const now of [500, 1100, 1500]) log.callFailed(FAILURE, at(now));
    log.end(at(1600));
    const told = lines.map(({change, waitedMs}) => [change, waitedMs]);
    expect(told).to.eql([
      ['worker_wait', 1100],
      ['worker_sure', 1600],
    ]);
  });
  it('a worker without runs has no line, however long it is silent', () => {
    const {log, lines} = makeLog();
    log.begin('no answer', {...at(0), runCount: 0});
    log.callFailed(FAILURE, {...at(5000), runCount: 0});
    log.end({...at(6000), runCount: 0});
    expect(lines).to.eql([]);
  });
  it('lists that were not in doubt have no line', () => {
    const {log, lines} = makeLog();
    log.callFailed(FAILURE, at(0));
    log.end(at(1));
    expect(lines).to.eql([]);
  });
});
