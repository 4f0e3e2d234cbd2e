import bunyan from 'bunyan';
import {expect} from 'chai';
import type {AdviceReply} from '@primrosewick/protocol';
import {
  WorkflowDb,
  stepKey,
  type StepRef,
  type VmId,
  type WorkerRegistration,
} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {AdviceDispatcher} from './advice_dispatcher.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal'});
const step = (index: number): StepRef =>
  ({workflow: `w${index}`, occurrence: 0, step: 0}) as never;
const settle = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));

/** A dispatcher whose calls end when the spec ends them. */
const makeDispatcher = (callers: readonly string[]) => {
  const ends: Array<() => void> = [];
  const asked: VmId[] = [];
  const dispatcher = new AdviceDispatcher({
    db: new WorkflowDb(),
    clock: systemClock,
    logger,
    callers: () => callers as VmId[],
    ask: vm => {
      asked.push(vm);
      return new Promise(resolve => {
        ends.push(() => resolve({kind: 'allowed', workers: []}));
      });
    },
    onChange: () => undefined,
  });
  return {dispatcher, ends, asked};
};

/** Registers an incarnation of worker w. */
const registerWorker = (db: WorkflowDb, bornAt: number): void => {
  const report = {worker: 'w', bornAt, room: {}, labels: []};
  db.apply(db.index + 1, {
    kind: 'put_worker',
    report: report as unknown as WorkerRegistration,
  });
};

type Allowed = Extract<AdviceReply, {kind: 'allowed'}>['workers'];

/** A dispatcher with one VM, whose adviser replies with the result of `allow`. */
const singleVmDispatcher = (
  db: WorkflowDb,
  allow: () => Promise<Allowed>,
): AdviceDispatcher =>
  new AdviceDispatcher({
    db,
    clock: systemClock,
    logger,
    callers: () => ['vm'] as VmId[],
    ask: async () => ({kind: 'allowed', workers: await allow()}),
    onChange: () => undefined,
  });

describe('advice dispatcher', () => {
  it('a VM is idle again after overlapping calls with fractional costs', async () => {
    const {dispatcher, ends, asked} = makeDispatcher(['vm']);
    for (const [i, baseMs] of [17.1, 25.3, 12.7, 9.9].entries()) {
      const terms = {baseMs, perWorkerMs: 0, validMs: 1000};
      dispatcher.requestAdvice({step: step(i), workers: ['a'] as never}, terms);
    }
    while (ends.length > 0) {
      ends.shift()!();
      await settle();
    }
    const long = {baseMs: 360, perWorkerMs: 5.2, validMs: 1000};
    const before = asked.length;
    dispatcher.requestAdvice({step: step(99), workers: ['a'] as never}, long);
    expect(asked.length).to.equal(before + 1);
  });
  it('long calls leave the reserved VMs to short ones', () => {
    const {dispatcher, asked} = makeDispatcher(['a', 'b', 'c', 'd']);
    const long = {baseMs: 360, perWorkerMs: 5, validMs: 1000};
    for (let i = 0; i < 6; i++)
      dispatcher.requestAdvice({step: step(i), workers: ['w'] as never}, long);
    expect(new Set(asked).size).to.equal(3);
    const short = {baseMs: 8, perWorkerMs: 0.1, validMs: 1000};
    dispatcher.requestAdvice({step: step(9), workers: ['w'] as never}, short);
    expect(asked).to.have.length(4);
    expect(new Set(asked).size).to.equal(4);
  });
  // If short calls always went first, a gang's tickets would never be renewed, and
  // the gang would hold room for seconds without starting.
  it('a long call is made in time although shorter ones keep arriving', async () => {
    let now = 0;
    const asked = new Set<string>();
    let end = (): void => undefined;
    const dispatcher = new AdviceDispatcher({
      db: new WorkflowDb(),
      clock: {...systemClock, now: () => now},
      logger,
      callers: () => ['vm'] as VmId[],
      ask: (_, about) => {
        asked.add(about.workflow);
        return new Promise(resolve => {
          end = () => resolve({kind: 'allowed', workers: []});
        });
      },
      onChange: () => undefined,
    });
    const want = (index: number, baseMs: number): void =>
      dispatcher.requestAdvice(
        {step: step(index), workers: ['w'] as never},
        {baseMs, perWorkerMs: 0, validMs: 2000},
      );
    want(0, 300);
    want(1, 1000);
    for (let i = 2; now < 10_000 && !asked.has('w1'); i++) {
      want(i, 300);
      now += 300;
      end();
      await settle();
    }
    expect(asked.has('w1')).to.equal(true);
    expect(now).to.be.at.most(1000 + 300);
  });
  it('a queued call about an ended workflow is not sent', async () => {
    const {dispatcher, ends, asked} = makeDispatcher(['vm']);
    const terms = {baseMs: 300, perWorkerMs: 0, validMs: 2000};
    for (const index of [0, 1])
      dispatcher.requestAdvice(
        {step: step(index), workers: ['w'] as never},
        terms,
      );
    dispatcher.prune(step(1).workflow);
    ends.shift()!();
    await settle();
    expect(asked).to.have.length(1);
  });
  it('a VM whose call failed is avoided by the next calls', async () => {
    const asked: string[] = [];
    const dispatcher = new AdviceDispatcher({
      db: new WorkflowDb(),
      clock: systemClock,
      logger,
      callers: () => ['down', 'sound'] as VmId[],
      ask: vm => {
        asked.push(vm);
        return vm === 'down'
          ? Promise.reject(new Error('refused'))
          : new Promise(() => undefined);
      },
      onChange: () => undefined,
    });
    const terms = {baseMs: 8, perWorkerMs: 0, validMs: 1000};
    dispatcher.requestAdvice({step: step(0), workers: ['w'] as never}, terms);
    await settle();
    for (const i of [1, 2])
      dispatcher.requestAdvice({step: step(i), workers: ['w'] as never}, terms);
    expect(asked).to.eql(['down', 'sound', 'sound']);
  });
  it('advice on a worker is dropped for its next incarnation', async () => {
    const db = new WorkflowDb();
    registerWorker(db, 1);
    const dispatcher = singleVmDispatcher(db, async () => [
      {worker: 'w' as never, ticket: 't'},
    ]);
    const terms = {baseMs: 8, perWorkerMs: 0, validMs: 1000};
    dispatcher.requestAdvice({step: step(0), workers: ['w'] as never}, terms);
    await settle();
    const advice = dispatcher.adviceOf(stepKey(step(0)))!;
    expect([...advice.asked, ...advice.allowed]).to.eql(['w', 'w']);
    registerWorker(db, 2);
    dispatcher.forget('w' as never);
    expect(advice.asked.size + advice.allowed.size).to.equal(0);
    expect(advice.tickets.size).to.equal(0);
  });
  it('an answer is ignored for a worker whose incarnation changed during the call', async () => {
    const db = new WorkflowDb();
    registerWorker(db, 1);
    const dispatcher = singleVmDispatcher(db, async () => {
      registerWorker(db, 2);
      return [];
    });
    const terms = {baseMs: 8, perWorkerMs: 0, validMs: 1000};
    dispatcher.requestAdvice({step: step(0), workers: ['w'] as never}, terms);
    await settle();
    expect(dispatcher.adviceOf(stepKey(step(0)))!.asked.size).to.equal(0);
  });
  it('a short call may be made early, while no other short one waits for a VM', () => {
    const {dispatcher} = makeDispatcher(['a']);
    const short = {baseMs: 9, perWorkerMs: 0.1, validMs: 2500};
    const long = {baseMs: 400, perWorkerMs: 1, validMs: 2500};
    const request = {step: step(0), workers: ['w'] as never};
    expect(dispatcher.mayAskEarly(request, short)).to.equal(true);
    expect(dispatcher.mayAskEarly(request, long)).to.equal(false);
    for (let i = 1; i < 4; i++)
      dispatcher.requestAdvice({step: step(i), workers: ['w'] as never}, long);
    expect(dispatcher.mayAskEarly(request, short)).to.equal(true);
    dispatcher.requestAdvice({step: step(4), workers: ['w'] as never}, short);
    expect(dispatcher.mayAskEarly(request, short)).to.equal(false);
  });
  it('advice about a workflow that was not recorded is dropped, also for a replay', async () => {
    const changes: object[] = [];
    const dispatcher = new AdviceDispatcher({
      db: new WorkflowDb(),
      clock: systemClock,
      logger,
      callers: () => ['vm'] as VmId[],
      ask: async () => ({kind: 'allowed', workers: []}),
      onChange: () => undefined,
      onAdvice: (_key, change) => changes.push(change),
    });
    const terms = {baseMs: 9, perWorkerMs: 0.1, validMs: 2500};
    dispatcher.requestAdvice({step: step(0), workers: ['w'] as never}, terms);
    dispatcher.drop('w0' as never);
    expect(changes.at(-1)).to.eql({isDropped: true});
    await settle();
    expect(dispatcher.adviceOf(stepKey(step(0)))).to.equal(undefined);
    expect(changes).to.have.length(2);
  });
});
