import {expect} from 'chai';
import type Logger from 'bunyan';
import {CellError} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {LeadershipCheckLog} from './leadership_check_log.js';

const makeLog = () => {
  const lines: object[] = [];
  const clock = {at: 0, now: () => clock.at};
  const logger = {info: (line: object) => lines.push(line)};
  const log = new LeadershipCheckLog(
    logger as unknown as Logger,
    clock as unknown as Clock,
  );
  return {log, lines, clock};
};

describe('leadership check log', () => {
  it('a quick check is not logged', async () => {
    const {log, lines} = makeLog();
    await log.watch('a', Promise.resolve());
    expect(lines).to.eql([]);
  });
  it('a slow check is logged with the id of the request', async () => {
    const {log, lines, clock} = makeLog();
    const check = new Promise<void>(resolve => setImmediate(resolve));
    const checked = log.watch('a', check);
    clock.at = 800;
    await checked;
    expect(lines).to.eql([
      {
        decision: 'confirm',
        req: 'a',
        waitMs: 800,
        outcome: 'slow',
        skipped: 0,
      },
    ]);
  });
  it('a failed check is logged and its error is rethrown', async () => {
    const {log, lines} = makeLog();
    const err = new CellError({code: 'not_leader', step: 'read-index'});
    const thrown = await log
      .watch('a', Promise.reject(err))
      .catch((caught: unknown) => caught);
    expect(thrown).to.equal(err);
    expect(lines[0]).to.deep.include({req: 'a', outcome: 'failed'});
  });
});
