import {expect} from 'chai';
import {
  asEpoch,
  asId,
  type JobId,
  type TaskId,
  type WorkerId,
} from '../ids/types.js';
import {PlacementCore} from './core.js';
import type {AttemptName, PlacementEffect} from './types.js';

const TASK = asId<TaskId>('job-1.7');

/** A core that knows a job of one task, and what it does about a report of an eighth. */
const reportOf = (state: 'running' | 'ended'): readonly PlacementEffect[] => {
  const core = new PlacementCore({
    epoch: asEpoch(1),
    startedAt: -100_000,
    limits: {announceMs: 1e9, taskLeaseMs: 10_000},
  });
  core.step({kind: 'barrier', now: 0, index: 0});
  const size = {cpuMillis: 1000, memoryMb: 100, accelerators: 0};
  const job = {
    id: asId<JobId>('job-1'),
    spec: {
      taskCount: 1,
      gang: false,
      priority: 1,
      size,
      command: 'run',
      runMs: 1,
    },
    state: 'open',
    profile: {
      name: 'p',
      placing: {kind: 'pack'},
      waiting: {classes: [], spill: {kind: 'never'}},
      stopping: {graceMs: 0, checkpoint: false, repeat: {kind: 'never'}},
    },
    acceptedIndex: 1,
    started: [],
    ended: [],
  };
  core.step({kind: 'job', now: 0, job: job as never, index: 1});
  const report = {
    worker: asId<WorkerId>('w0'),
    rack: 'r0',
    address: 'w0',
    size: {cpuMillis: 4000, memoryMb: 4000, accelerators: 0},
    state: 'serving' as const,
    seq: 1,
    fence: 0,
    epoch: asEpoch(1),
    tasks: [
      {
        task: TASK,
        attempt: asId<AttemptName>('a'),
        state,
        ...(state === 'ended' && {outcome: 'succeeded' as const}),
        usedCpuMillis: 0,
        usedMemoryMb: 0,
        size,
      },
    ],
  };
  return core.step({kind: 'report', now: 0, report}).effects;
};

const answerOf = (effects: readonly PlacementEffect[]) =>
  effects.find(({kind}) => kind === 'answer');

describe('tasks that their job does not have', () => {
  it('one that runs is stopped', () => {
    const answer = answerOf(reportOf('running'));
    expect(answer).to.deep.nested.include({'answer.stop': ['job-1.7#a']});
    expect(answer).to.deep.nested.include({'answer.renewed': []});
  });
  it('one that has ended is acknowledged and counts nowhere', () => {
    const effects = reportOf('ended');
    expect(answerOf(effects)).to.deep.nested.include({
      'answer.acknowledged': ['job-1.7#a'],
    });
    expect(effects.some(({kind}) => kind === 'finish')).to.equal(false);
  });
});
