import {expect} from 'chai';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import type {TaskRef} from '../types.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

const SUSPECT = testTask('a', 0, 0);

/** A cell of two workers, after a crash under the only task of workflow a. */
const logWithSuspect = (): TestLog => {
  const log = new TestLog();
  log.submit('a', testSpec([testStep()]));
  log.addWorker('w0');
  startAt(log, 'w0', 'a', 1, 900);
  log.apply({
    kind: 'remove_worker',
    life: {worker: 'w0' as never, bornAt: 1},
    runs: [],
    crash: {at: 1000, heardAt: 950, togetherCount: 0},
  });
  log.addWorker('w1');
  log.addWorker('w2');
  return log;
};

const startAt = (
  log: TestLog,
  worker: string,
  workflow: string,
  run: number,
  at: number,
): void => {
  const start = {worker: worker as never, bornAt: 1, run};
  const task = testTask(workflow, 0, 0);
  log.apply({kind: 'start_runs', starts: [{...start, task}], at});
};

const startsOf = (log: TestLog, wall: number) =>
  plan(inputOf(log, {wall})).starts.map(({task, worker}) => [
    task.workflow,
    worker,
  ]);

const IDS = 'abcdefghijkl'.split('');

/** Starts tasks on a worker at one time. */
const startAll = (
  log: TestLog,
  worker: string,
  tasks: readonly TaskRef[],
  {run, at}: {readonly run: number; readonly at: number},
): void => {
  const place = {worker: worker as never, bornAt: 1, run};
  const starts = tasks.map(task => ({...place, task}));
  log.apply({kind: 'start_runs', starts, at});
};

/** Crashes a worker that answered until shortly before. */
const crashOf = (
  log: TestLog,
  worker: string,
  at: number,
  {isDark = true} = {},
): void => {
  log.apply({
    kind: 'remove_worker',
    life: {worker: worker as never, bornAt: 1},
    runs: [],
    crash: {at, heardAt: at - 50, togetherCount: 0, isDark},
  });
};

/** A cell without workers, after a crash at 1000 under one task of each workflow. */
const logWithCrash = (count: number, kind = {isDark: true}) => {
  const log = new TestLog();
  const ids = IDS.slice(0, count);
  const room = {cpuMillis: 100, memMb: 1, gpus: 0};
  for (const id of ids) log.submit(id, testSpec([testStep({room})]));
  const tasks = ids.map(id => testTask(id, 0, 0));
  log.addWorker('w0');
  startAll(log, 'w0', tasks, {run: 1, at: 900});
  crashOf(log, 'w0', 1000, kind);
  return {log, tasks};
};

const startCount = (log: TestLog, wall: number): number =>
  startsOf(log, wall).length;

const WORKERS = 6;
const RUN_MS = 1500;
const SLICE_MS = 50;
/** A task comes with each slice. */
const ROOM = {cpuMillis: 100, memMb: 1, gpus: 0};

/**
 * Longest wait of a suspect, from the crash to its next start, on six workers that
 * crash in turn, each back at once, while short tasks come in.
 */
const longestWaitMs = (options: {
  readonly crashes: number;
  readonly everyMs: number;
  readonly isDark: boolean;
}): number => {
  const log = new TestLog();
  const workers = Array.from({length: WORKERS}, (_, i) => `w${i}`);
  for (const worker of workers) log.addWorker(worker);
  const waitingSince = new Map<string, number>();
  const endsMs = options.crashes * options.everyMs;
  let lives = 0;
  let longest = 0;
  let sequence = 0;
  for (let at = 10_000; at < 10_000 + endsMs; at += SLICE_MS) {
    log.submit(`t${at}`, testSpec([testStep({room: ROOM})]));
    for (const [worker, {active, report}] of [...log.db.workers])
      for (const {task, run, startedAt = 0} of [...active.values()])
        if (at >= startedAt + RUN_MS)
          log.apply({
            kind: 'end_runs',
            life: {worker, bornAt: report.bornAt},
            ends: [
              {
                sequence: ++sequence,
                task,
                run,
                outcome: 'done',
                checkpoint: '',
              },
            ],
            at,
          });
    if ((at - 10_000) % options.everyMs === 0) {
      // The busiest one crashes, so that the next one is again another.
      const worker = workers[lives % WORKERS]!;
      const runs = [...log.db.workers.get(worker as never)!.active.values()];
      crashOf(log, worker, at, options);
      // A task that is given up waits no more.
      for (const {task} of runs)
        if (log.db.open.has(task.workflow)) waitingSince.set(task.workflow, at);
      workers[lives % WORKERS] = `x${lives++}`;
      log.addWorker(`x${lives - 1}`);
    }
    const {starts} = plan(inputOf(log, {wall: at}));
    for (const start of starts) {
      const since = waitingSince.get(start.task.workflow) ?? at;
      longest = Math.max(longest, at - since);
      waitingSince.delete(start.task.workflow);
    }
    log.apply({kind: 'start_runs', starts, at});
  }
  for (const since of waitingSince.values())
    longest = Math.max(longest, 10_000 + endsMs - since);
  return longest;
};

describe('quarantine', () => {
  it('a suspect is not started beside another start, but where it harms nothing', () => {
    const log = logWithSuspect();
    log.submit('b', testSpec([testStep()]));
    startAt(log, 'w1', 'b', 1, 4900);
    expect(startsOf(log, 5000)).to.eql([['a', 'w2']]);
  });
  it('nothing is started beside a suspect that was just started', () => {
    const log = logWithSuspect();
    startAt(log, 'w1', 'a', 2, 4900);
    log.submit('b', testSpec([testStep({taskCount: 5})]));
    const workers = startsOf(log, 5000).map(([, worker]) => worker);
    expect(new Set(workers)).to.eql(new Set(['w2']));
    expect(startsOf(log, 6000).map(([, worker]) => worker)).to.include('w1');
  });
  it('a suspect that finds no quiet worker waits, and keeps one free of starts', () => {
    const log = logWithSuspect();
    for (const [id, worker] of [
      ['b', 'w1'],
      ['c', 'w2'],
    ] as const) {
      log.submit(id, testSpec([testStep()]));
      startAt(log, worker, id, 1, worker === 'w1' ? 4500 : 4900);
    }
    log.submit('d', testSpec([testStep()]));
    const {starts, waits} = plan(inputOf(log, {wall: 5000}));
    expect(waits.map(({why}) => why)).to.eql(['quarantine']);
    expect(starts.map(({worker}) => worker)).to.eql(['w2']);
    expect(startsOf(log, 5600)).to.deep.include(['a', 'w1']);
  });
  it('a snapshot plans a suspect as the log does', () => {
    const log = logWithSuspect();
    const copy = new TestLog();
    copy.db.restore(log.db.toImage());
    expect(startsOf(copy, 5000)).to.eql(startsOf(log, 5000));
    expect(log.db.crashes.unitOf(SUSPECT)).to.equal('a.0.0.0');
  });
  // Guards against LOST: suspects wait one by one though all workers are empty.
  it('suspects that have waited for a second share a worker, up to half of a crash', () => {
    const {log} = logWithCrash(6);
    log.addWorker('w1');
    expect(startCount(log, 1100)).to.equal(1);
    expect(startCount(log, 2000)).to.equal(3);
  });
  // Guards against BUDGET: groups in which one task is likely to crash its worker.
  it('after a crash in sight fewer suspects share a worker, and later', () => {
    const {log} = logWithCrash(8, {isDark: false});
    log.addWorker('w1');
    expect(startCount(log, 3900)).to.equal(1);
    expect(startCount(log, 4000)).to.equal(2);
  });
  it('suspects that have waited take a worker each before they share', () => {
    const {log} = logWithCrash(6);
    for (const worker of ['w1', 'w2', 'w3', 'w4', 'w5']) log.addWorker(worker);
    const workers = startsOf(log, 2000).map(([, worker]) => worker);
    expect(workers).to.have.length(6);
    expect(new Set(workers).size).to.equal(5);
  });
  // Guards against BUDGET: groups that crash are not split down to one.
  it('a suspect of two crashes shares with none, however long it waits', () => {
    const {log, tasks} = logWithCrash(6);
    log.addWorker('w1');
    startAll(log, 'w1', tasks, {run: 2, at: 2000});
    crashOf(log, 'w1', 2500);
    log.addWorker('w2');
    expect(startsOf(log, 4000)).to.eql([['a', 'w2']]);
  });
  it('a suspect does not join others whose window has half passed', () => {
    const {log, tasks} = logWithCrash(6);
    log.addWorker('w1');
    startAll(log, 'w1', tasks.slice(0, 1), {run: 2, at: 2000});
    expect(startCount(log, 2500)).to.equal(0);
  });
  // Guards against LOST, under a second fault of the same kind and further ones.
  it('suspects start within three seconds though crashes go on', () => {
    const options = {crashes: 30, everyMs: 1700, isDark: true};
    expect(longestWaitMs(options)).to.be.below(3000);
  });
  it('they start within five seconds where the crashes are in sight', () => {
    const options = {crashes: 30, everyMs: 1700, isDark: false};
    expect(longestWaitMs(options)).to.be.below(5000);
  });
});
