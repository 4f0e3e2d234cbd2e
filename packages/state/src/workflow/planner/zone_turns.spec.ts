import {expect} from 'chai';
import {submitOf} from '../admission/fixtures.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

const ONE = testSpec([testStep()]);

/** Zones of the workflows that a pass on some workers of four cores starts. */
const zonesStarted = (
  jobs: ReadonlyArray<{readonly zone?: string; readonly customer?: string}>,
  workers: number,
): Array<string | undefined> => {
  const log = new TestLog();
  for (let i = 0; i < workers; i++) log.addWorker(`w${i}`);
  jobs.forEach((origin, i) =>
    log.apply(submitOf(`j${i}`, {spec: ONE, at: 1000 + i, ...origin})),
  );
  return plan(inputOf(log, {wall: 1200, mayShareZones: true})).starts.map(
    ({task}) => log.db.open.get(task.workflow)?.zone,
  );
};

const times = (count: number, zone: string) =>
  Array.from({length: count}, () => ({zone}));

describe('turns of zones', () => {
  it('a full pool serves each zone the same fraction of what it asked for', () => {
    // By due time alone, the first zone would take all twelve cores.
    const started = zonesStarted(
      [...times(24, 'a'), ...times(16, 'b'), ...times(8, 'c')],
      3,
    );
    const countOf = (zone: string) => started.filter(z => z === zone).length;
    expect(['a', 'b', 'c'].map(countOf)).to.eql([6, 4, 2]);
  });
  it('a pool with room, and work without zones, is served by due time', () => {
    const jobs = [...times(4, 'a'), ...times(4, 'b')];
    const zones = jobs.map(({zone}) => zone);
    expect(zonesStarted(jobs, 2)).to.eql(zones);
    expect(zonesStarted([...jobs.map(() => ({})), ...times(4, 'b')], 2)).to.eql(
      jobs.map(() => undefined),
    );
  });
  it('the turns of other customers keep their positions', () => {
    const jobs = [
      ...times(2, 'a').map(job => ({...job, customer: 'x'})),
      ...times(4, 'a').map(job => ({...job, customer: 'y'})),
      ...times(4, 'b').map(job => ({...job, customer: 'y'})),
    ];
    expect(zonesStarted(jobs, 1)).to.eql(['a', 'a', 'a', 'b']);
  });
});
