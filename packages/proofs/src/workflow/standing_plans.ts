/** Fuzzing of the check that no job stands while workers are free. */
import fc from 'fast-check';
import type {AsyncFuzzPlan} from '../fuzz/run_fuzz.js';
import {
  WORKER,
  command,
  smallSubmission,
  type Command,
  type EmptyModel,
} from './plans.js';
import type {ConnectionPolicy} from './sim_connections.js';
import {SMALL_JOB} from './standing_days.js';
import {WorkflowWorld} from './workflow_world.js';

/** Options of the plans. */
export interface StandingPlanOptions {
  readonly seed: number;
  readonly runs: number;
  readonly connectionPolicy: ConnectionPolicy;
}

/** Longest leases; each world draws one. */
const LEASES_MS = [6000, 10_000] as const;
/** Time from the goodbye of a worker to its end, in ms. */
const GOODBYE_MS = 20;

const burst: fc.Arbitrary<Command> = fc.integer({min: 1, max: 24}).map(count =>
  command(`burst(${count})`, world => {
    for (let i = 0; i < count; i++) world.submit(SMALL_JOB);
  }),
);

const advance = (max: number): fc.Arbitrary<Command> =>
  fc
    .integer({min: 1, max})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms)));

const silenceAll: fc.Arbitrary<Command> = fc.constant(
  command('silenceConnections', world => world.silenceConnections()),
);

const silenceOne: fc.Arbitrary<Command> = WORKER.map(i =>
  command(`silenceConnections(${i})`, w => w.silenceConnections(i)),
);

const leaderChange: fc.Arbitrary<Command> = fc.constant(
  command('changeLeader', world => world.changeLeader(false)),
);

const calmCommands: Array<fc.Arbitrary<Command>> = [
  burst,
  burst,
  smallSubmission('urgent'),
  smallSubmission('patient'),
  smallSubmission('advised'),
  advance(3000),
  advance(3000),
  advance(9000),
];

const silences: Array<fc.Arbitrary<Command>> = [
  ...calmCommands,
  silenceAll,
  silenceAll,
  silenceOne,
  leaderChange,
];

/** Workers end, and stay away or come back; most of the room always stays. */
const ends: Array<fc.Arbitrary<Command>> = [
  fc
    .nat({max: 1})
    .map(i => command(`crash(${i})`, world => world.crashWorker(i))),
  WORKER.map(i => command(`restart(${i})`, world => world.restartWorker(i))),
  fc
    .record({index: WORKER, downMs: fc.integer({min: 300, max: 4000})})
    .map(({index, downMs}) =>
      command(`crashFor(${index},${downMs})`, world => {
        world.crashWorker(index);
        world.queue.after(downMs, () => world.restartWorker(index));
      }),
    ),
  fc.nat({max: 1}).map(i =>
    command(`goodbye(${i})`, async world => {
      world.leave(i, {afterMs: GOODBYE_MS});
      await world.advance(GOODBYE_MS);
      world.crashWorker(i);
    }),
  ),
];

/** Connections go silent and leaders change; no worker ends. */
export const silencePlan = ({
  seed,
  runs,
  connectionPolicy,
}: StandingPlanOptions): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  name: 'silent connections',
  seed,
  runs,
  commands: silences,
  maxCommands: 40,
  setUp: async worldSeed => {
    const world = new WorkflowWorld(worldSeed, {
      maxLeaseMs: LEASES_MS[worldSeed % LEASES_MS.length]!,
      connectionPolicy,
      refusesWhenDown: Math.floor(worldSeed / LEASES_MS.length) % 2 === 0,
      checksStanding: true,
    });
    await world.start();
    return world;
  },
  finish: world => world.settle(),
});

/** The same, and workers end in several ways. */
export const standingPlan = (
  options: StandingPlanOptions,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...silencePlan(options),
  name: 'silent connections and workers that end',
  commands: [...silences, ...ends],
});
