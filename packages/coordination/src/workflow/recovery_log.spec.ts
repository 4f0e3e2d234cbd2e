import {expect} from 'chai';
import type {PlannedWait} from '@primrosewick/state';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {RecoveryLog} from './recovery_log.js';

const makeLog = (ids: readonly string[]) => {
  const log = new TestLog();
  for (const id of ids) log.submit(id, testSpec([testStep()]));
  const lines: unknown[] = [];
  const logger = {info: (line: unknown) => lines.push(line)} as never;
  return {recovery: new RecoveryLog(logger, log.db, 1000), lines};
};

const waitOf = (workflow: string) =>
  ({step: {workflow, occurrence: 0, step: 0}}) as PlannedWait;

describe('recovery after a change of the leader', () => {
  it('is logged once, with the time of each stage', () => {
    const {recovery, lines} = makeLog(['a', 'b']);
    recovery.notePass([waitOf('a'), waitOf('new')], 1100);
    recovery.noteRecord({kind: 'start_runs'}, 1200);
    recovery.noteRecord({kind: 'submit'}, 1300);
    recovery.noteRecord({kind: 'start_runs'}, 1400);
    // Newer work that waits does not belong to the backlog that was found.
    recovery.notePass([waitOf('new')], 1500);
    recovery.notePass([], 1600);
    const afterMs = {firstStart: 200, firstAcceptance: 300, backlogGone: 500};
    expect(lines).to.eql([{decision: 'recovered', found: 2, afterMs}]);
  });
  it('is logged with what is missing after 30 s, and not without open work', () => {
    const {recovery, lines} = makeLog(['a']);
    recovery.noteRecord({kind: 'start_runs'}, 1200);
    recovery.notePass([waitOf('a')], 31_000);
    const afterMs = {firstStart: 200};
    expect(lines).to.eql([{decision: 'recovered', found: 1, afterMs}]);
    const idle = makeLog([]);
    idle.recovery.noteRecord({kind: 'submit'}, 1200);
    idle.recovery.notePass([], 31_000);
    expect(idle.lines).to.eql([]);
  });
});
