import {expect} from 'chai';
import {
  asEpoch,
  asId,
  type JobId,
  type ProfileName,
  type TaskId,
  type TeamName,
  type ZoneId,
} from '../ids/types.js';
import {JobTable, makeTaskId} from './jobs.js';
import {DEFAULT_CELL_LIMITS, type JobRecord} from './types.js';

const JOB = asId<JobId>('job-7');
/** Ids that name the job and none of its two tasks. */
const FOREIGN = ['2', '99', '-1', '01', '1.5', '', 'x'].map(position =>
  asId<TaskId>(`${JOB}.${position}`),
);

const makeTable = (): JobTable => {
  const table = new JobTable(DEFAULT_CELL_LIMITS);
  const spec = {
    team: asId<TeamName>('team'),
    profile: asId<ProfileName>('p'),
    taskCount: 2,
    gang: false,
    priority: 1,
    size: {cpuMillis: 1, memoryMb: 1, accelerators: 0},
    command: 'run',
    runMs: 1,
  };
  table.addJob({
    id: JOB,
    spec,
    homeZone: asId<ZoneId>('z'),
    state: 'open',
    profile: {} as JobRecord['profile'],
    acceptedAt: 0,
    acceptedIndex: 7,
    started: [],
    ended: [],
  });
  return table;
};

const endOf = (task: TaskId) => ({
  task,
  attempt: 1,
  outcome: 'succeeded' as const,
});

describe('jobs of the cell', () => {
  // Guards against a job that is done before its tasks are, as an end of a task
  // that it does not have counted as one of them.
  it('only ends of its own tasks complete a job', () => {
    const table = makeTable();
    table.addEnds(FOREIGN.map(endOf));
    table.addEnds([endOf(makeTaskId(JOB, 0)), endOf(makeTaskId(JOB, 0))]);
    expect(table.getJob(JOB)?.state).to.equal('open');
    table.addEnds([endOf(makeTaskId(JOB, 1))]);
    expect(table.getJob(JOB)?.state).to.equal('done');
    expect(table.getJob(JOB)?.ended).to.have.length(2);
  });
  it('only starts of its own tasks are recorded', () => {
    const table = makeTable();
    expect(table.addStarts(FOREIGN, asEpoch(1))).to.eql([]);
    expect(table.getJob(JOB)?.started).to.eql([]);
  });
});
