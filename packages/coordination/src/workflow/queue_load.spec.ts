import {expect} from 'chai';
import type {
  PlannedWait,
  QueueName,
  WaitReason,
  WorkflowId,
} from '@primrosewick/state';
import {QueueLoad} from './queue_load.js';

const QUEUE = 'tally' as QueueName;
const waitOf = (workflow: string, why: WaitReason): PlannedWait => ({
  step: {workflow: workflow as WorkflowId, occurrence: 0, step: 0},
  why,
  taskCount: 1,
  candidateCount: 0,
});
const makeLoad = () => new QueueLoad(id => (id === 'gone' ? undefined : QUEUE));

describe('queue load', () => {
  it('waiting time is added to the current reason of a step', () => {
    const load = makeLoad();
    load.notePass([waitOf('a', 'advice_turn')], 0);
    load.notePass([waitOf('a', 'advice_turn')], 100);
    load.notePass([waitOf('a', 'room')], 300);
    load.notePass([waitOf('a', 'room')], 350);
    load.notePass([], 400);
    const {waiting, waitedMs} = load.sumsOf(QUEUE, 400);
    expect(waitedMs).to.eql({advice_turn: 300, room: 100});
    expect(waiting).to.eql({});
  });
  it('a change of the reason does not reset the age of a wait', () => {
    const load = makeLoad();
    load.notePass([waitOf('a', 'room'), waitOf('b', 'room')], 0);
    load.notePass([waitOf('a', 'tickets'), waitOf('b', 'room')], 500);
    load.notePass([waitOf('a', 'room'), waitOf('b', 'room')], 600);
    load.notePass([waitOf('c', 'room'), waitOf('a', 'room')], 700);
    expect(load.sumsOf(QUEUE, 900).waiting).to.eql({
      room: {steps: 2, oldestMs: 900},
    });
  });
  it('an ended wait is returned once, with its reason and duration', () => {
    const load = makeLoad();
    expect(load.notePass([waitOf('a', 'tickets')], 0)).to.eql([]);
    expect(load.notePass([waitOf('a', 'tickets')], 40)).to.eql([]);
    expect(load.notePass([waitOf('a', 'room')], 60)).to.eql([
      {queue: QUEUE, reason: 'tickets', waitMs: 60},
    ]);
    expect(load.notePass([], 100)).to.eql([
      {queue: QUEUE, reason: 'room', waitMs: 40},
    ]);
    expect(load.notePass([], 200)).to.eql([]);
  });
  it('events of a workflow are counted for its queue', () => {
    const load = makeLoad();
    const id = 'a' as WorkflowId;
    load.count(id, 'stops', 'preempted');
    load.count(id, 'stops', 'preempted');
    load.count(id, 'ended', 'stopped');
    load.count('gone' as WorkflowId, 'ended', 'stopped');
    load.countFor(QUEUE, 'refused', 'backlog');
    expect(load.sumsOf(QUEUE, 0).counts).to.eql({
      stops: {preempted: 2},
      ended: {stopped: 1},
      refused: {backlog: 1},
    });
  });
});
