import {expect} from 'chai';
import type {JobRecord} from '../cell/types.js';
import type {Size, TaskOutcome} from '../documents/job.js';
import type {Profile} from '../documents/profile.js';
import {
  asEpoch,
  asId,
  type JobId,
  type ProfileName,
  type TaskId,
  type TeamName,
  type WorkerId,
  type ZoneId,
} from '../ids/types.js';
import {PlacementCore} from './core.js';
import type {
  PlacementEffect,
  PlacementLimits,
  StartTask,
  TaskView,
} from './types.js';

const TEAM = asId<TeamName>('team');
const NAME = asId<ProfileName>('p');

interface JobOptions {
  readonly cpu?: number;
  readonly taskCount?: number;
  readonly gang?: boolean;
  readonly priority?: number;
  readonly checkpoint?: boolean;
  readonly spread?: boolean;
}

const profileOf = ({
  checkpoint = false,
  spread = false,
}: JobOptions): Profile => ({
  name: NAME,
  placing: spread ? {kind: 'spread', over: 'rack'} : {kind: 'pack'},
  waiting: {
    classes: [
      {name: 'all', pathPrefix: '/', priority: 1, deadlineMs: 1, queueBound: 1},
    ],
    spill: {kind: 'never'},
  },
  stopping: {
    graceMs: 0,
    checkpoint,
    repeat: {kind: 'again', maxAttempts: 3, backoffMs: 100},
  },
});

/**
 * A placement core with workers of four CPU cores, and helpers that feed it
 * events.
 */
class Harness {
  readonly core: PlacementCore;
  private readonly seqs = new Map<string, number>();
  private readonly tasks = new Map<string, StartTask>();
  private jobs = 0;
  now = 0;
  private readonly records = new Map<string, JobRecord>();
  /** Attempts that the last answer ordered a worker to stop. */
  stopped: readonly string[] = [];
  /** Outcomes of the tasks that have ended. */
  readonly outcomes: Record<string, TaskOutcome> = {};

  constructor(workers: number, limits: Partial<PlacementLimits> = {}) {
    this.core = new PlacementCore({
      epoch: asEpoch(1),
      startedAt: -100_000,
      limits: {announceMs: 1e9, taskLeaseMs: 10_000, ...limits},
    });
    this.core.step({kind: 'barrier', now: 0, index: 0});
    for (let i = 0; i < workers; i++) this.report(`w${i}`);
  }

  submit(options: JobOptions): string[] {
    this.jobs++;
    const {cpu = 1000, taskCount = 1, gang = false, priority = 4} = options;
    const spec = {
      team: TEAM,
      profile: NAME,
      taskCount,
      gang,
      priority,
      size: sizeOf(cpu),
      command: 'run',
      runMs: 1,
    };
    const job: JobRecord = {
      id: asId<JobId>(`job-${this.jobs}`),
      spec,
      homeZone: asId<ZoneId>('z'),
      state: 'open',
      profile: profileOf(options),
      acceptedAt: 0,
      acceptedIndex: this.jobs,
      started: [],
      ended: [],
    };
    this.records.set(job.id, job);
    return this.take(
      this.core.step({kind: 'job', now: this.now, job, index: this.jobs})
        .effects,
    );
  }

  cancel(id: string): void {
    const known = this.records.get(id);
    if (!known) throw new Error(`no ${id}`);
    const job: JobRecord = {...known, state: 'cancelling'};
    this.jobs++;
    this.take(
      this.core.step({kind: 'job', now: this.now, job, index: this.jobs})
        .effects,
    );
  }

  /**
   * Announces a worker with its running tasks, some of them ended or using
   * more.
   */
  report(
    worker: string,
    ended: Record<string, TaskOutcome> = {},
    usedCpuMillis = 0,
  ): string[] {
    const seq = (this.seqs.get(worker) ?? 0) + 1;
    this.seqs.set(worker, seq);
    const own = [...this.tasks.values()].filter(
      order => order.worker === worker,
    );
    const tasks = own.map(order =>
      viewOf(order, ended[order.task], usedCpuMillis),
    );
    for (const order of own)
      if (ended[order.task]) this.tasks.delete(order.task);
    const report = {
      worker: asId<WorkerId>(worker),
      rack: worker === 'w0' ? 'r0' : 'r1',
      address: worker,
      size: {...sizeOf(4000), memoryMb: 10_000},
      state: 'serving' as const,
      seq,
      fence: seq - 1,
      epoch: asEpoch(1),
      tasks,
    };
    return this.take(
      this.core.step({kind: 'report', now: this.now, report}).effects,
    );
  }

  tick(byMs: number): string[] {
    this.now += byMs;
    return this.take(this.core.step({kind: 'tick', now: this.now}).effects);
  }

  setQuota(cpuMillis: number): string[] {
    return this.take(
      this.core.step({
        kind: 'quotas',
        now: this.now,
        quotas: [{team: TEAM, cpuMillis}],
      }).effects,
    );
  }

  placeOf(task: string): string | undefined {
    return this.tasks.get(task)?.worker;
  }

  private take(effects: readonly PlacementEffect[]): string[] {
    const answer = effects.find(effect => effect.kind === 'answer')?.answer;
    this.stopped = answer?.stop ?? [];
    const starts = effects.flatMap(effect =>
      effect.kind === 'start' ? [effect.order] : [],
    );
    for (const order of starts) this.tasks.set(order.task, order);
    for (const effect of effects)
      if (effect.kind === 'finish')
        for (const {task, outcome} of effect.ends)
          this.outcomes[task] = outcome;
    return starts.map(({task}) => task);
  }
}

const sizeOf = (cpuMillis: number): Size => ({
  cpuMillis,
  memoryMb: 100,
  accelerators: 0,
});

const viewOf = (
  order: StartTask,
  outcome: TaskOutcome | undefined,
  usedCpuMillis: number,
): TaskView => ({
  task: order.task as TaskId,
  attempt: order.attempt,
  state: outcome ? 'ended' : 'running',
  ...(outcome ? {outcome} : {}),
  usedCpuMillis,
  usedMemoryMb: 0,
  size: order.size,
});

describe('placement core', () => {
  it('a task that does not fit waits until capacity is released', () => {
    const harness = new Harness(1);
    expect(harness.submit({cpu: 3000})).to.deep.equal(['job-1.0']);
    expect(harness.submit({cpu: 2000})).to.deep.equal([]);
    expect(harness.report('w0', {'job-1.0': 'succeeded'})).to.deep.equal([
      'job-2.0',
    ]);
  });
  it('a cancelled task whose attempt was lost before any report ends as unknown', () => {
    const harness = new Harness(1, {announceMs: 500, taskLeaseMs: 1000});
    expect(harness.submit({})).to.deep.equal(['job-1.0']);
    harness.tick(5000);
    harness.cancel('job-1');
    expect(harness.outcomes).to.deep.equal({'job-1.0': 'unknown'});
  });
  it('a cancelled task that was never started ends as not_run', () => {
    const harness = new Harness(0);
    harness.submit({});
    harness.cancel('job-1');
    expect(harness.outcomes).to.deep.equal({'job-1.0': 'not_run'});
  });
  it('a gang starts all of its tasks or none', () => {
    const harness = new Harness(2);
    harness.submit({cpu: 2000});
    expect(harness.submit({cpu: 3000, taskCount: 2, gang: true})).to.deep.equal(
      [],
    );
    expect(harness.report('w0', {'job-1.0': 'succeeded'})).to.deep.equal([
      'job-2.0',
      'job-2.1',
    ]);
  });
  it('two gangs that need the same workers do not block each other', () => {
    const harness = new Harness(2);
    expect(
      harness.submit({cpu: 3000, taskCount: 2, gang: true}),
    ).to.have.length(2);
    expect(
      harness.submit({cpu: 3000, taskCount: 2, gang: true}),
    ).to.have.length(0);
    harness.report('w0', {'job-1.0': 'succeeded'});
    expect(harness.report('w1', {'job-1.1': 'succeeded'})).to.deep.equal([
      'job-2.0',
      'job-2.1',
    ]);
  });
  it('a gang that has waited for gangHoldMs blocks later jobs', () => {
    const harness = new Harness(2, {gangHoldMs: 1000});
    harness.submit({cpu: 2000});
    harness.submit({cpu: 3000, taskCount: 2, gang: true});
    expect(harness.submit({cpu: 1000})).to.deep.equal(['job-3.0']);
    harness.tick(1000);
    expect(harness.submit({cpu: 1000})).to.deep.equal([]);
  });
  it('a job of higher priority starts first', () => {
    const harness = new Harness(1);
    harness.submit({cpu: 4000});
    harness.submit({cpu: 4000, priority: 2});
    harness.submit({cpu: 4000, priority: 7});
    expect(harness.report('w0', {'job-1.0': 'succeeded'})).to.deep.equal([
      'job-3.0',
    ]);
  });
  it('a job that waits long enough starts before a later one of higher priority', () => {
    const harness = new Harness(1, {ageingMs: 1000});
    harness.submit({cpu: 4000});
    harness.submit({cpu: 4000, priority: 2});
    for (let i = 0; i < 6; i++) harness.tick(1000);
    harness.submit({cpu: 4000, priority: 7});
    expect(harness.report('w0', {'job-1.0': 'succeeded'})).to.deep.equal([
      'job-2.0',
    ]);
  });
  it('a team stays within its quota', () => {
    const harness = new Harness(1);
    harness.setQuota(2000);
    expect(harness.submit({cpu: 1000, taskCount: 3})).to.have.length(2);
    expect(harness.report('w0', {'job-1.0': 'succeeded'})).to.deep.equal([
      'job-1.2',
    ]);
  });
  it('a task that uses more than it declared is counted by its usage', () => {
    const harness = new Harness(1);
    harness.submit({cpu: 1000});
    harness.report('w0', {}, 3500);
    expect(harness.submit({cpu: 1000})).to.deep.equal([]);
  });
  it('tasks with spread placement start on different racks', () => {
    const harness = new Harness(2);
    harness.submit({cpu: 100, taskCount: 2, spread: true});
    expect(
      new Set([harness.placeOf('job-1.0'), harness.placeOf('job-1.1')]).size,
    ).to.equal(2);
  });
  it('an urgent task preempts a task that supports checkpoints', () => {
    const harness = new Harness(1);
    harness.submit({cpu: 4000, checkpoint: true});
    expect(harness.submit({cpu: 2000, priority: 9})).to.deep.equal([]);
    harness.report('w0');
    expect(harness.stopped).to.deep.equal(['job-1.0#1.1']);
    expect(harness.report('w0', {'job-1.0': 'cancelled'})).to.deep.equal([
      'job-2.0',
    ]);
    expect(harness.report('w0', {'job-2.0': 'succeeded'})).to.deep.equal([
      'job-1.0',
    ]);
  });
  it('an urgent task does not preempt a task without checkpoint support', () => {
    const harness = new Harness(1);
    harness.submit({cpu: 4000});
    harness.submit({cpu: 2000, priority: 9});
    harness.report('w0');
    expect(harness.stopped).to.deep.equal([]);
  });
  it('a failed task is retried after its backoff, up to maxAttempts', () => {
    const harness = new Harness(1);
    harness.submit({cpu: 1000});
    expect(harness.report('w0', {'job-1.0': 'failed'})).to.deep.equal([]);
    expect(harness.tick(100)).to.deep.equal(['job-1.0']);
    harness.report('w0', {'job-1.0': 'failed'});
    expect(harness.tick(200)).to.deep.equal(['job-1.0']);
    harness.report('w0', {'job-1.0': 'failed'});
    expect(harness.tick(10_000)).to.deep.equal([]);
  });
  it('a worker that fails tasks of different jobs is set aside and tried again later', () => {
    const harness = new Harness(3, {setAsideMs: 1000});
    harness.submit({cpu: 2000, taskCount: 2, spread: true});
    const free = ['w0', 'w1', 'w2'].find(
      worker =>
        worker !== harness.placeOf('job-1.0') &&
        worker !== harness.placeOf('job-1.1'),
    )!;
    for (let i = 2; i <= 4; i++) {
      expect(harness.submit({cpu: 3000})).to.have.length(1);
      harness.report(free, {[`job-${i}.0`]: 'failed'});
    }
    expect(harness.submit({cpu: 3000})).to.deep.equal([]);
    expect(harness.tick(1000)).to.have.length(1);
  });
  it('a job that fails on every worker sets none of them aside', () => {
    const harness = new Harness(3, {setAsideMs: 1000});
    harness.submit({cpu: 3000, taskCount: 3});
    for (const i of [0, 1, 2])
      harness.report(harness.placeOf(`job-1.${i}`)!, {
        [`job-1.${i}`]: 'failed',
      });
    expect(harness.tick(100)).to.have.length(3);
  });
});
