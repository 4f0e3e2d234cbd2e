import type Logger from 'bunyan';
import {WorkflowDb} from '@primrosewick/state';
import {expect} from 'chai';
import {INTERFERENCE_INTERVAL_MS, InterferenceLog} from './interference_log.js';

describe('log of interference', () => {
  it('is written at intervals while a pair counts, and once after', () => {
    const lines: object[] = [];
    const logger = {
      info: (line: object) => lines.push(line),
    } as never as Logger;
    const counts: number[] = [];
    const {interference} = new WorkflowDb();
    const log = new InterferenceLog(logger, {interference}, ({counting}) =>
      counts.push(counting),
    );
    log.note(0, 0);
    expect(lines).to.eql([]);
    const state = {mean: Math.log(1.5), variance: 0, weight: 20, slowed: 20};
    interference.pairs.restore([
      [
        '@a' as never,
        '@b' as never,
        {...state, at: 0, workers: [], counts: true},
      ],
    ]);
    for (let now = 0; now < 2 * INTERFERENCE_INTERVAL_MS; now += 2000)
      log.note(now, 0);
    const known = {decision: 'interference', known: 1};
    const worst = [{victim: '@a', neighbour: '@b', ratio: 1.5, ends: 20}];
    const line = {...known, counting: 1, worst};
    expect(lines).to.eql([line, line]);
    for (const now of [30_000, 60_000]) log.note(now, 1e6);
    expect(lines.slice(2)).to.eql([{...known, counting: 0, worst: []}]);
    expect(counts).to.eql([1, 1, 0, 0]);
  });
});
