import {expect} from 'chai';
import fc from 'fast-check';
import {seededRandom} from '../../utils/random.js';
import type {WorkflowId} from '../types.js';
import {BlockingReads} from './core.js';
import type {BlockingRead, ReadId} from './types.js';

const read = (
  id: number,
  {workflow = 'a', priority = 0, deadline = 500} = {},
): BlockingRead => ({
  id: id as ReadId,
  workflow: workflow as WorkflowId,
  priority,
  deadline,
});
const makeReads = (maxReads: number, reads: readonly BlockingRead[] = []) => {
  const blocking = new BlockingReads({maxReads});
  for (const each of reads) blocking.add(each);
  return blocking;
};

/** Pause of a caller that is told that its workflow runs, in ms. */
const RETRY_PAUSE_MS = 260;
/** Time for which a read waits, in ms. */
const WAIT_MS = 500;
const CALLERS = 1000;

/**
 * Callers that ask 5 to 25 ms after the last task of their workflow has ended;
 * the end is recorded 18 to 140 ms after it. @returns how long after the record
 * each caller knows of it, in ms.
 */
const replayCallers = (waitMs: number): number[] => {
  const random = seededRandom(37);
  const waiting = makeReads(CALLERS);
  return Array.from({length: CALLERS}, (_, caller) => {
    const recordedAt = 18 + random.nextInt(0, 122);
    let askedAt = 5 + random.nextInt(0, 20);
    while (askedAt < recordedAt) {
      const deadline = askedAt + waitMs;
      waiting.add(read(caller, {workflow: `w${caller}`, deadline}));
      const late = waiting.takeExpired(Math.min(deadline, recordedAt));
      const told = waiting.takeFor(`w${caller}` as WorkflowId);
      if (late.length === 0 && told.length > 0) return 0;
      askedAt = deadline + RETRY_PAUSE_MS;
    }
    return askedAt - recordedAt;
  }).sort((a, b) => a - b);
};

describe('blocking reads', () => {
  it('callers that ask while an end is being recorded know of it at once', () => {
    const [blocking, polling] = [replayCallers(WAIT_MS), replayCallers(0)];
    expect(polling[CALLERS / 2]).to.be.greaterThan(150);
    expect(blocking[CALLERS - 1]).to.be.lessThan(10);
  });
  it('an end releases the reads of its workflow alone', () => {
    const reads = [read(1), read(2, {workflow: 'b'}), read(3)];
    const blocking = makeReads(10, reads);
    expect(blocking.takeFor('a' as WorkflowId)).to.eql([1, 3]);
    expect(blocking.takeFor('a' as WorkflowId)).to.eql([]);
    expect(blocking.size).to.equal(1);
  });
  it('a read waits until its deadline and no longer', () => {
    const blocking = makeReads(10, [read(1, {deadline: 500})]);
    expect(blocking.takeExpired(499)).to.eql([]);
    expect(blocking.takeExpired(500)).to.eql([1]);
    expect(blocking.size).to.equal(0);
  });
  it('when full, the oldest read of the least urgent priority is answered', () => {
    const reads = [
      read(1, {priority: 0}),
      read(2, {priority: 2}),
      read(3, {priority: 2}),
    ];
    const blocking = makeReads(3, reads);
    expect(blocking.add(read(4, {priority: 1}))).to.equal(2);
    expect(blocking.add(read(5, {priority: 0}))).to.equal(3);
    expect(blocking.add(read(6, {priority: 3}))).to.equal(6);
    expect(blocking.size).to.equal(3);
  });
  it('a removed read takes no place and is not released', () => {
    const blocking = makeReads(1, [read(1)]);
    expect(blocking.remove(1 as ReadId)).to.equal(true);
    expect(blocking.remove(1 as ReadId)).to.equal(false);
    expect(blocking.add(read(2))).to.equal(undefined);
    expect(blocking.takeAll()).to.eql([2]);
  });
  it('each read is released exactly once, whatever comes', () => {
    const step = fc.record({
      kind: fc.constantFrom('add', 'add', 'end', 'remove', 'expire'),
      workflow: fc.constantFrom('a', 'b', 'c'),
      priority: fc.nat(3),
      ms: fc.nat(50),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), fc.nat(6), (steps, max) => {
        const blocking = makeReads(max);
        const released: number[] = [];
        let [now, count] = [0, 0];
        for (const {kind, workflow, priority, ms} of steps) {
          if (kind === 'add') {
            const deadline = now + ms;
            const out = blocking.add(
              read(++count, {workflow, priority, deadline}),
            );
            if (out !== undefined) released.push(out);
          } else if (kind === 'end') {
            released.push(...blocking.takeFor(workflow as WorkflowId));
          } else if (kind === 'remove') {
            if (blocking.remove(ms as ReadId)) released.push(ms);
          } else released.push(...blocking.takeExpired((now += ms)));
          expect(blocking.size).to.be.at.most(max);
          expect(blocking.size + released.length).to.equal(count);
        }
        released.push(...blocking.takeAll());
        expect(new Set(released).size).to.equal(count);
      }),
    );
  });
});
