import {expect} from 'chai';
import type {WorkflowId} from '@primrosewick/state';
import {StartTimeline} from './start_timeline.js';

const A = 'a' as WorkflowId;

describe('start timeline', () => {
  it('the stages add up to the whole time', () => {
    const timeline = new StartTimeline();
    timeline.begin(A, 100);
    timeline.note(A, 'wanted', 110);
    timeline.note(A, 'asked', 115);
    timeline.note(A, 'advised', 150);
    timeline.note(A, 'planned', 160);
    timeline.note(A, 'recorded', 180);
    expect(timeline.finish(A, 190)).to.eql({
      wanted: 10,
      asked: 5,
      advised: 35,
      planned: 10,
      recorded: 20,
      started: 10,
    });
  });
  it('only the first time of a moment counts, and only the first start returns stages', () => {
    const timeline = new StartTimeline();
    timeline.begin(A, 0);
    timeline.note(A, 'planned', 5);
    timeline.note(A, 'planned', 9);
    expect(timeline.finish(A, 9)).to.eql({planned: 5, started: 4});
    expect(timeline.finish(A, 12)).to.equal(undefined);
  });
  it('a moment noted out of order does not distort the other stages', () => {
    const timeline = new StartTimeline();
    timeline.begin(A, 0);
    timeline.note(A, 'planned', 10);
    timeline.note(A, 'advised', 20);
    expect(timeline.finish(A, 30)).to.eql({
      advised: 20,
      planned: 0,
      started: 10,
    });
  });
});
