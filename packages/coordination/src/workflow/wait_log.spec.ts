import bunyan from 'bunyan';
import {expect} from 'chai';
import type {PlannedWait} from '@primrosewick/state';
import {WaitLog} from './wait_log.js';

describe('wait log', () => {
  // Guards against a wait from which an operator cannot see whose cap it is.
  it('a step held back by a cap is logged with what is used and allowed', () => {
    const lines: Array<Record<string, unknown>> = [];
    const stream = {write: (text: string) => lines.push(JSON.parse(text))};
    const log = new WaitLog(
      bunyan.createLogger({name: 'spec', stream} as never),
    );
    const used = {cpuMillis: 900, memMb: 10, gpus: 0};
    const allowed = {cpuMillis: 1000, memMb: 0, gpus: 0};
    const wait: PlannedWait = {
      step: {workflow: 'a' as never, occurrence: 0, step: 0},
      why: 'cap',
      taskCount: 3,
      candidateCount: 0,
      cap: {customer: 'c' as never, used, allowed},
    };
    log.note(wait, 0);
    log.note(wait, 5000);
    expect(lines[0]).to.include({reason: 'cap', customer: 'c'});
    expect(lines[0]).to.deep.include({used, allowed});
  });
});
