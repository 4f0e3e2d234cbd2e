import {expect} from 'chai';
import fc from 'fast-check';
import {testBundle, testQueue} from '../bundle/fixtures.js';
import {WorkflowDb} from './db.js';
import {
  TestLog,
  testCustomer,
  testSpec,
  testStep,
  testWorker,
} from './fixtures.js';
import {plan} from './planner/core.js';
import {inputOf} from './planner/fixtures.js';
import type {WorkflowCommand} from './commands.js';
import type {RunEnd, StepSpec, WorkflowSpec} from './types.js';

const roomOf = (cpuMillis: number, memMb: number) => ({
  cpuMillis,
  memMb,
  gpus: 0,
});
const stepOf = (part: Partial<StepSpec>): StepSpec =>
  testStep({estimateMs: 300, ...part});

/** Specifications with fractions, gangs, images and all kinds of tasks. */
const SPECS: readonly WorkflowSpec[] = [
  testSpec([
    stepOf({taskCount: 3, image: 'lookup', room: roomOf(300.1, 33.3)}),
  ]),
  testSpec([
    stepOf({taskCount: 3, isSpeculative: true, room: roomOf(700.7, 100)}),
    stepOf({taskCount: 2, after: [0], room: roomOf(0.1, 900.3)}),
  ]),
  testSpec([
    stepOf({
      taskCount: 2,
      isGang: true,
      image: 'gang',
      room: roomOf(1500, 900),
    }),
  ]),
  testSpec([stepOf({usesLeftover: true, room: roomOf(500, 50)})]),
  testSpec([stepOf({isLongRunning: true, room: roomOf(100.3, 10)})]),
];

const bundleOf = (version: number, mask: number) =>
  testBundle({
    version,
    queues: [
      testQueue({maxAttempts: 4}),
      testQueue({name: 'low', prefix: '/low/', priority: 2}),
    ],
    customers: ['a', 'b', 'c'].flatMap((name, i) =>
      (mask >> i) % 2 === 0
        ? []
        : [
            testCustomer(name, {
              weight: i,
              cap: roomOf(2500 * (i + version / 10), 2500 * i),
            }),
          ],
    ),
  });

/** One random event; numbers choose among what the state has. */
interface Event {
  readonly kind: string;
  readonly pick: number;
  readonly ms: number;
}

const eventOf = fc.record({
  kind: fc.constantFrom(
    'submit',
    'submit',
    'plan',
    'plan',
    'end',
    'end',
    'end',
    'end',
    'restart',
    'bundle',
    'cancel',
  ),
  pick: fc.nat(1 << 16),
  // Wall clocks of leaders differ by seconds in either direction.
  ms: fc.oneof(
    fc.integer({min: 20, max: 900}),
    fc.integer({min: -4000, max: 6000}),
  ),
});

/** Turns events into records, by the state of one log. */
class Writer {
  readonly log = new TestLog(bundleOf(1, 7));
  wall = 1_000_000;
  private count = 0;
  private version = 1;
  private sequence = 0;
  private readonly births = new Map<string, number>();

  constructor() {
    for (let i = 0; i < 5; i++) this.addWorker(`w${i}`);
  }

  private addWorker(worker: string): WorkflowCommand {
    const bornAt = (this.births.get(worker) ?? 0) + 1;
    this.births.set(worker, bornAt);
    const rack = `rack-${worker.charCodeAt(1) % 2}`;
    const command: WorkflowCommand = {
      kind: 'put_worker',
      report: testWorker(worker, {bornAt, rack}),
    };
    this.log.apply(command);
    return command;
  }

  /** Applies an event. @returns its records. */
  apply({kind, pick, ms}: Event): readonly WorkflowCommand[] {
    this.wall += ms;
    if (kind === 'restart') return this.restart(`w${pick % 5}`);
    const command = this.commandOf(kind, pick);
    if (!command) return [];
    this.log.apply(command);
    return [command];
  }

  private restart(worker: string): readonly WorkflowCommand[] {
    const bornAt = this.births.get(worker)!;
    const life = {worker: worker as never, bornAt};
    const command: WorkflowCommand = {
      kind: 'remove_worker',
      life,
      runs: [],
      proof: 'next_life',
      isFinal: true,
    } as never;
    this.log.apply(command);
    return [command, this.addWorker(worker)];
  }

  private commandOf(kind: string, pick: number): WorkflowCommand | undefined {
    const {db} = this.log;
    const at = this.wall;
    switch (kind) {
      case 'submit':
        return {
          kind: 'submit',
          id: `job${this.count++}` as never,
          queue: (pick % 3 ? 'queue' : 'low') as never,
          spec: SPECS[(pick >> 2) % SPECS.length]!,
          at,
          ...((pick >> 5) % 4 && {
            customer: 'abc'.charAt(((pick >> 5) % 4) - 1) as never,
          }),
          zone: `zone-${(pick >> 8) % 2}` as never,
          ...((pick >> 9) % 3 === 0 && {isBeyondRate: true as const}),
        };
      case 'plan': {
        const starts = planOf(db, at).starts;
        return starts.length === 0
          ? undefined
          : {kind: 'start_runs', starts, at};
      }
      case 'bundle':
        return {kind: 'put_bundle', bundle: bundleOf(++this.version, pick % 8)};
      case 'cancel': {
        const ids = [...db.open.keys()];
        const id = ids[pick % Math.max(1, ids.length)];
        return pick % 4 || !id ? undefined : {kind: 'cancel', id, at};
      }
      default:
        return this.endOf(pick, at);
    }
  }

  private endOf(pick: number, at: number): WorkflowCommand | undefined {
    const busy = [...this.log.db.workers.values()].filter(
      ({active}) => active.size > 0,
    );
    const worker = busy[pick % Math.max(1, busy.length)];
    if (!worker) return undefined;
    const {report, active} = worker;
    const ends = [...active.values()].map((run, i): RunEnd => ({
      task: run.task,
      run: run.run,
      sequence: ++this.sequence,
      outcome: ((pick >> 4) + i) % 6 ? 'done' : 'failed',
      checkpoint: '',
    }));
    const life = {worker: report.worker, bornAt: report.bornAt};
    return {kind: 'end_runs', life, ends, at};
  }
}

/** A pass, with the free resources of the workers as the state has them. */
const planOf = (db: WorkflowDb, wall: number) => {
  const input = inputOf({db} as TestLog, {
    wall,
    mayShareZones: true,
    mayDeferUseless: true,
  });
  for (const [worker, {report, used}] of db.workers)
    input.workers.get(worker)!.free = {
      cpuMillis: report.room.cpuMillis - used.cpuMillis,
      memMb: report.room.memMb - used.memMb,
      gpus: 0,
    };
  return plan(input);
};

const imageText = (db: WorkflowDb): string => JSON.stringify(db.toImage());

const restoredFrom = (db: WorkflowDb): WorkflowDb => {
  const restored = new WorkflowDb();
  restored.restore(JSON.parse(imageText(db)));
  return restored;
};

/** Tasks that failed and speeds that were learned, over all random runs. */
const seen = {failures: 0, speeds: 0, used: 0, caps: 0, starts: 0};

const noteSeen = ({db}: TestLog, waits: ReturnType<typeof planOf>): void => {
  const {durations, speeds} = db.estimates;
  seen.used += durations.usedCount;
  seen.speeds += speeds.size;
  seen.starts += waits.starts.length;
  seen.caps += waits.waits.filter(({why}) => why === 'cap').length;
  for (const {occurrences} of db.open.values())
    for (const [step] of occurrences.values())
      for (const {failedRuns} of step?.tasks ?? [])
        seen.failures += failedRuns?.length ?? 0;
};

describe('plans of a restored voter', () => {
  // Guards against voters that decide differently after a restart: state that an
  // image does not carry, orders of maps, and sums that depend on the order.
  it('equal those of one that applied all records', () => {
    fc.assert(
      fc.property(
        fc.array(eventOf, {minLength: 150, maxLength: 300}),
        fc.nat(100),
        (events, percent) => {
          const writer = new Writer();
          const {db} = writer.log;
          const restoreAt = Math.floor((events.length * percent) / 100);
          let other: WorkflowDb | undefined;
          events.forEach((event, i) => {
            if (i === restoreAt) other = restoredFrom(db);
            for (const command of writer.apply(event))
              other?.apply(other.index + 1, command);
            if (!other) return;
            const planned = planOf(db, writer.wall);
            expect(planOf(other, writer.wall)).to.eql(planned);
            if (i % 10 === 0) noteSeen(writer.log, planned);
          });
          if (other) expect(imageText(other)).to.equal(imageText(db));
        },
      ),
      {seed: 7001, numRuns: 40, endOnFailure: true},
    );
    for (const [name, count] of Object.entries(seen))
      expect(count, name).to.be.above(0);
  });
});
