import bunyan from 'bunyan';
import {expect} from 'chai';
import {WorkflowDb, type StepRef, type VmId} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {AdviceDispatcher} from './advice_dispatcher.js';

const VMS = ['a', 'b', 'c', 'd'] as VmId[];
const LONG = {baseMs: 360, perWorkerMs: 0, validMs: 2500};
const SHORT = {baseMs: 8, perWorkerMs: 0, validMs: 2500};
/** Time by which a long call is late, in ms. */
const LATE_MS = 500;

/** A dispatcher with four VMs on a clock that the spec sets; only short calls end. */
const makeDispatcher = () => {
  const time = {now: 0};
  const longAsked = new Set<VmId>();
  const dispatcher = new AdviceDispatcher({
    db: new WorkflowDb(),
    clock: {...systemClock, now: () => time.now},
    logger: bunyan.createLogger({name: 'spec', level: 'fatal' as never}),
    callers: () => VMS,
    ask: (vm, {workflow}) => {
      if (workflow === 'short')
        return Promise.resolve({kind: 'allowed', workers: []});
      longAsked.add(vm);
      return new Promise(() => undefined);
    },
    onChange: () => undefined,
  });
  const request = (workflow: string, timing: typeof LONG): void => {
    const step = {workflow, occurrence: 0, step: 0};
    dispatcher.requestAdvice(
      {step: step as never as StepRef, workers: ['w'] as never},
      timing,
    );
  };
  /** Number of VMs that make long calls after a dispatch at a time in ms. */
  const longCallersAt = (now: number): number => {
    time.now = now;
    dispatcher.dispatch();
    return longAsked.size;
  };
  return {request, longCallersAt};
};

describe('VMs reserved for short calls', () => {
  it('late long calls use the reserved VMs while there are no short calls', () => {
    const {request, longCallersAt} = makeDispatcher();
    for (let i = 0; i < 6; i++) request(`w${i}`, LONG);
    expect(longCallersAt(100)).to.equal(3);
    expect(longCallersAt(LATE_MS)).to.equal(4);
  });
  it('late long calls leave the reserved VMs free after a recent short call', async () => {
    const {request, longCallersAt} = makeDispatcher();
    for (let i = 0; i < 6; i++) request(`w${i}`, LONG);
    request('short', SHORT);
    await new Promise(resolve => setImmediate(resolve));
    expect(longCallersAt(LATE_MS)).to.equal(3);
    expect(longCallersAt(LATE_MS + 1000)).to.equal(4);
  });
});
