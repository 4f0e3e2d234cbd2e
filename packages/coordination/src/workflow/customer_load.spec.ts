import bunyan from 'bunyan';
import {expect} from 'chai';
import type {PlannedWait} from '@primrosewick/state';
import {TestLog, testCustomer} from '@primrosewick/state/fixtures';
import {CustomerLoad} from './customer_load.js';

describe('load of customers', () => {
  // Guards against a customer of which all work is held back and nothing is said.
  it('a customer without runs is logged while its cap holds tasks back', () => {
    const lines: Array<Record<string, unknown>> = [];
    const stream = {write: (text: string) => lines.push(JSON.parse(text))};
    const cap = {cpuMillis: 1000, memMb: 0, gpus: 0};
    const {db} = new TestLog({
      customers: [testCustomer('a', {cap}), testCustomer('idle')],
    });
    const load = new CustomerLoad({
      db,
      logger: bunyan.createLogger({name: 'spec', stream} as never),
    });
    const used = {cpuMillis: 0, memMb: 0, gpus: 0};
    const wait: PlannedWait = {
      step: {workflow: 'x' as never, occurrence: 0, step: 0},
      why: 'cap',
      taskCount: 3,
      candidateCount: 0,
      cap: {customer: 'a' as never, used, allowed: cap},
    };
    load.notePass([wait, wait]);
    load.log();
    expect(lines.length).to.equal(1);
    expect(lines[0]).to.include({customer: 'a', heldBack: 6, running: 0});
    expect(lines[0]).to.deep.include({allowed: cap});
  });
});
