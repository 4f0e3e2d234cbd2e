import {expect} from 'chai';
import {TestLog} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {PassInputs} from './pass_input.js';

/** Inputs whose sources change with each look at them, as those of a leader may. */
const makeInputs = () => {
  const log = new TestLog();
  log.addWorker('w1');
  log.addWorker('w2');
  let looks = 0;
  const inputs = new PassInputs({
    db: log.db,
    clock: systemClock,
    callers: () => [],
    channels: new Map(),
    views: {
      unusable: () => {
        looks++;
        return ['w1'] as never;
      },
    },
    orphans: {
      heldBack: () => {
        looks++;
        return [['task', 'w1']] as never;
      },
    },
    adviceOf: () => undefined,
  });
  return {inputs, looksOf: () => looks};
};

describe('inputs of passes', () => {
  it('a trial has what the last pass found, without another look', () => {
    const {inputs, looksOf} = makeInputs();
    expect(inputs.trial()).to.equal(undefined);
    expect(looksOf()).to.equal(0);
    inputs.next();
    const reserved = new Map([['step', new Set(['w2'])]]) as never;
    inputs.notePlan({reserved, preemptedAt: new Map()} as never);
    const looks = looksOf();
    const trial = inputs.trial();
    expect(looksOf()).to.equal(looks);
    expect(trial?.workers.get('w1' as never)?.isUsable).to.equal(false);
    expect(trial?.workers.get('w2' as never)?.isUsable).to.equal(true);
    expect([...(trial?.pending ?? [])]).to.eql([['task', 'w1']]);
    expect([...(trial?.reserved.keys() ?? [])]).to.eql(['step']);
  });
  it('a trial has views of its own', () => {
    const {inputs} = makeInputs();
    const {input} = inputs.next();
    input.workers.get('w2' as never)!.free = {cpuMillis: 0, memMb: 0, gpus: 0};
    const view = inputs.trial()?.workers.get('w2' as never);
    expect(view?.free.cpuMillis).to.equal(4000);
  });
});
