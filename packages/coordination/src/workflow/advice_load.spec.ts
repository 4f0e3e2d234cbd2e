import bunyan from 'bunyan';
import {expect} from 'chai';
import type {QueueName, VmId} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {systemClock, type Clock} from '@primrosewick/transport';
import {AdviceDispatcher} from './advice_dispatcher.js';
import {AdviceLoad} from './advice_load.js';

const QUEUE = 'queue' as QueueName;
const TERMS = {baseMs: 100, perWorkerMs: 0, validMs: 1000};
const settle = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));

describe('advice load', () => {
  it('first calls, calls about more workers and renewals are counted separately', async () => {
    const log = new TestLog();
    log.submit('a', testSpec([testStep()]));
    const time = {now: 0};
    const clock: Clock = {...systemClock, now: () => time.now};
    const load = new AdviceLoad();
    const ends: Array<() => void> = [];
    const dispatcher = new AdviceDispatcher({
      db: log.db,
      clock,
      logger: bunyan.createLogger({name: 'spec', level: 'fatal'}),
      callers: () => ['vm'] as VmId[],
      ask: () =>
        new Promise(resolve => {
          ends.push(() => resolve({kind: 'allowed', workers: []}));
        }),
      onChange: () => undefined,
      load,
    });
    const step = testTask('a', 0, 0);
    log.addWorker('w1');
    log.addWorker('w2');
    for (const workers of [['w1'], ['w1', 'w2'], ['w2']]) {
      dispatcher.requestAdvice({step, workers: workers as never}, TERMS);
      expect(dispatcher.callerUse).to.eql({
        callers: 1,
        busyCallers: 1,
        queuedCalls: 0,
      });
      expect(load.sumsOf(QUEUE)?.asking).to.equal(1);
      time.now += 120;
      ends.shift()!();
      await settle();
    }
    const call = {calls: 1, failed: 0, busyMs: 120, queuedMs: 0};
    expect(load.sumsOf(QUEUE)).to.eql({
      asking: 0,
      first: call,
      more: call,
      renewal: call,
    });
    dispatcher.close();
  });
  it('the time in the queue and the time of the call are counted separately', () => {
    const load = new AdviceLoad();
    load.begin(QUEUE, 'first', 700);
    load.end(QUEUE, 'first', {busyMs: 30, isAnswered: false});
    expect(load.sumsOf(QUEUE)).to.eql({
      asking: 0,
      first: {calls: 1, failed: 1, busyMs: 30, queuedMs: 700},
    });
  });
});
