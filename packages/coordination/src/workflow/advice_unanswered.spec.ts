import type Logger from 'bunyan';
import {expect} from 'chai';
import {Observable} from 'rxjs';
import type {AdviceReply} from '@primrosewick/protocol';
import {
  WorkflowDb,
  stepKey,
  type StepRef,
  type VmId,
  type WorkerId,
} from '@primrosewick/state';
import {systemClock, type Clock} from '@primrosewick/transport';
import {AdviceDispatcher} from './advice_dispatcher.js';

const VMS = ['a', 'b', 'c'] as VmId[];
const SHORT = {baseMs: 17, perWorkerMs: 0.2, validMs: 2500};
const LONG = {baseMs: 800, perWorkerMs: 0, validMs: 2500};
const STEP_MS = 10;
/** Time in which a job has to start where there is room, in ms. */
const LOST_MS = 3000;

interface MadeCall {
  readonly vm: VmId;
  readonly workflow: string;
  readonly sentAt: number;
  readonly deadline: number;
}

/** An adviser that serves the calls of each VM in turn, over kept connections. */
class SimCell {
  now = 0;
  /** How many times longer than expected the adviser takes. */
  slowness = 1;
  isHung = false;
  readonly calls: MadeCall[] = [];
  readonly advisedAt = new Map<string, number>();
  readonly lines: Array<Record<string, unknown>> = [];
  readonly dispatcher: AdviceDispatcher;
  private timers: Array<{at: number; act: () => void}> = [];
  /** VMs whose kept connections are silent. */
  private silent = new Set<VmId>();
  private silences = 0;
  private readonly freeAt = new Map<VmId, number>();

  constructor() {
    const clock: Clock = {
      ...systemClock,
      now: () => this.now,
      after: delayMs =>
        new Observable(subscriber =>
          this.at(this.now + delayMs, () => subscriber.next()),
        ),
    };
    const note = (fields: Record<string, unknown>): void => {
      this.lines.push(fields);
    };
    this.dispatcher = new AdviceDispatcher({
      db: new WorkflowDb(),
      clock,
      logger: {info: note, debug: () => undefined} as unknown as Logger,
      callers: () => this.callers(),
      ask: (vm, {workflow}, workers, deadline) =>
        this.ask({vm, workflow, sentAt: this.now, deadline}, workers.length),
      onChange: () => this.wantMissing(),
      onCall: ({workflow}, moment) => {
        if (moment === 'advised') this.advisedAt.set(workflow, this.now);
      },
    });
  }

  private readonly wanted = new Map<string, typeof SHORT>();

  /** Wants advice on a step, also after calls without an answer. */
  want(workflow: string, terms = SHORT): void {
    this.wanted.set(workflow, terms);
    this.wantMissing();
  }

  /** Silences the kept connections of all VMs. */
  silence(): void {
    this.silences++;
    for (const vm of VMS) this.silent.add(vm);
  }

  async runUntil(end: number): Promise<void> {
    while (this.now < end) {
      this.now += STEP_MS;
      const due = this.timers.filter(({at}) => at <= this.now);
      this.timers = this.timers.filter(({at}) => at > this.now);
      for (const {act} of due) act();
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** The VMs, a different one first after each call. */
  private callers(): readonly VmId[] {
    const first = this.calls.length % VMS.length;
    return [...VMS.slice(first), ...VMS.slice(0, first)];
  }

  private wantMissing(): void {
    for (const [workflow, terms] of this.wanted) {
      const step = {workflow, occurrence: 0, step: 0} as never as StepRef;
      const isAsking = this.dispatcher.adviceOf(stepKey(step))?.isAsking;
      if (this.advisedAt.has(workflow) || isAsking) continue;
      this.dispatcher.requestAdvice({step, workers: ['w' as WorkerId]}, terms);
    }
  }

  private ask(call: MadeCall, workers: number): Promise<AdviceReply> {
    this.calls.push(call);
    const {vm, workflow, deadline} = call;
    const terms = this.wanted.get(workflow)!;
    const costMs = (terms.baseMs + terms.perWorkerMs * workers) * this.slowness;
    const endAt = Math.max(this.now, this.freeAt.get(vm) ?? 0) + costMs;
    const {silences} = this;
    const isLost = this.silent.has(vm) || this.isHung;
    if (!isLost) this.freeAt.set(vm, endAt);
    return new Promise(resolve => {
      this.at(deadline, () => {
        this.silent.delete(vm);
        resolve({kind: 'unanswered'});
      });
      if (isLost) return;
      this.at(endAt, () => {
        if (silences === this.silences) resolve({kind: 'allowed', workers: []});
      });
    });
  }

  private at(at: number, act: () => void): void {
    this.timers.push({at, act});
  }
}

describe('a call for advice without an answer', () => {
  let cell: SimCell;
  beforeEach(() => {
    cell = new SimCell();
  });

  // Guards against LOST: a call on a silent connection was waited out for 4 s.
  it('a job whose call met a silent connection is advised within a second', async () => {
    cell.silence();
    cell.want('w');
    await cell.runUntil(1000);
    expect(cell.advisedAt.get('w')).to.be.below(1000);
  });
  it('a second silence at any moment of the first wait costs less than 3 s', async () => {
    for (let secondAt = 100; secondAt <= 1500; secondAt += 100) {
      cell = new SimCell();
      cell.silence();
      cell.want('w');
      await cell.runUntil(secondAt);
      cell.silence();
      await cell.runUntil(secondAt + LOST_MS);
      expect(cell.advisedAt.get('w'), `at ${secondAt}`).to.not.equal(undefined);
    }
  });
  it('the deadline covers the calls before it on the same VM', async () => {
    for (let i = 0; i < 12; i++) cell.want(`w${i}`);
    for (const vm of VMS) {
      const calls = cell.calls.filter(call => call.vm === vm);
      for (const [i, {deadline}] of calls.entries())
        expect(deadline).to.be.within((i + 1) * 2 * 17.2 + 400, 1000);
    }
  });
  it('an adviser that takes twice as long is asked once for each step', async () => {
    cell.slowness = 2;
    for (let i = 0; i < 12; i++) cell.want(`w${i}`);
    cell.want('long', LONG);
    await cell.runUntil(4000);
    expect(cell.advisedAt.size).to.equal(13);
    expect(cell.calls).to.have.length(13);
  });
  it('an adviser that takes four times as long answers in the end', async () => {
    cell.slowness = 4;
    cell.want('long', LONG);
    await cell.runUntil(15_000);
    expect(cell.advisedAt.has('long')).to.equal(true);
  });
  it('is made again on the same VM first, then on another one', async () => {
    cell.isHung = true;
    cell.want('w');
    await cell.runUntil(4000);
    const [first, second, third] = cell.calls.map(({vm}) => vm);
    expect(second).to.equal(first);
    expect(third).to.not.equal(first);
  });
  // Calls that were given up may still wait at the adviser, and delay the others.
  it('a hung adviser is asked ever less often', async () => {
    cell.isHung = true;
    cell.want('w');
    await cell.runUntil(20_000);
    expect(cell.calls.filter(({sentAt}) => sentAt < 5000)).to.have.length(5);
    const waits = cell.calls.map(({sentAt, deadline}) => deadline - sentAt);
    expect(Math.max(...waits)).to.equal(4000);
    cell.isHung = false;
    await cell.runUntil(25_000);
    expect(cell.advisedAt.has('w')).to.equal(true);
  });
  it('a VM that answers again is not avoided for an earlier silence', async () => {
    for (let i = 0; i < 2 * VMS.length; i++) {
      cell.silence();
      cell.want(`w${i}`);
      await cell.runUntil(cell.now + 1000);
      const [first, second] = cell.calls.slice(-2);
      expect(second!.vm).to.equal(first!.vm);
    }
  });
  it('its line tells what was waited for', async () => {
    cell.silence();
    cell.want('w');
    await cell.runUntil(1000);
    const line = cell.lines.find(({change}) => change === 'advice_failed');
    expect(line).to.include({
      step: 'w.0.0',
      vm: 'a',
      tries: 1,
      err: 'no answer',
    });
    expect(line!['tookMs']).to.be.within(400, 1000);
    expect(line!['answerMs']).to.be.within(400, 1000);
    expect(line!['expectedMs']).to.equal(17);
  });
});
