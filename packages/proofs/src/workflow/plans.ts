/** Commands of the stateful fuzzing of the scheduler. */
import fc from 'fast-check';
import type {StepSpec, WorkflowSpec} from '@primrosewick/state';
import type {AsyncFuzzPlan} from '../fuzz/run_fuzz.js';
import type {TestQueueName} from './cell_bundle.js';
import {FORGED_WORDS} from './forged_words.js';
import {WorkflowWorld} from './workflow_world.js';

/** Commands need no model beside the world. */
export type EmptyModel = Record<string, never>;
/** One command of a plan. */
export type Command = fc.AsyncCommand<EmptyModel, WorkflowWorld>;

/** Makes a command that is always allowed. */
export const command = (
  name: string,
  run: (world: WorkflowWorld) => Promise<void> | void,
): Command => ({
  check: () => true,
  run: async (_model, world) => run(world),
  toString: () => name,
});

/** Index of a worker. */
export const WORKER = fc.nat({max: 4});

const step: fc.Arbitrary<StepSpec> = fc
  .record({
    taskCount: fc.integer({min: 1, max: 5}),
    cpuMillis: fc.constantFrom(500, 1500, 4000),
    isGang: fc.boolean(),
    maxPerWorker: fc.constantFrom(0, 0, 1, 2),
    follows: fc.boolean(),
    isCheckpointable: fc.boolean(),
    isSpeculative: fc.boolean(),
    isRackLocal: fc.boolean(),
  })
  .map(({cpuMillis, follows, ...given}) => ({
    ...given,
    room: {cpuMillis, memMb: 100, gpus: 0},
    estimateMs: 500,
    after: follows ? [0] : [],
    isLongRunning: false,
    latencyTargetMs: 0,
    usesLeftover: false,
    maxUnavailable: 0,
  }));

const spec: fc.Arbitrary<WorkflowSpec> = fc
  .array(step, {minLength: 1, maxLength: 3})
  .map(([first, ...rest]) => ({
    payload: 'x',
    steps: [{...first!, after: []}, ...rest],
    occurrences: 0,
    firstDueAt: 0,
    intervalMs: 0,
  }));

/**
 * Steps whose tasks all fit on any single worker, as no more than one worker is
 * certain to be allowed.
 */
const smallSpec: fc.Arbitrary<WorkflowSpec> = spec.map(value => ({
  ...value,
  steps: value.steps.map(given => ({
    ...given,
    room: {...given.room, cpuMillis: 500},
    maxPerWorker: 0,
  })),
}));

/** A workflow whose steps run up to three times, one right after the other. */
const repeatedSpec: fc.Arbitrary<WorkflowSpec> = fc
  .record({value: spec, occurrences: fc.integer({min: 1, max: 3})})
  .map(({value, occurrences}) => ({...value, occurrences}));

/** A workflow of one of its tasks that crashes each worker that starts it. */
const deadlySubmission = (queue: TestQueueName): fc.Arbitrary<Command> =>
  fc
    .record({
      value: queue === 'advised' ? smallSpec : spec,
      pick: fc.nat({max: 2}),
      index: fc.nat({max: 4}),
    })
    .map(({value, pick, index}) => {
      const step = pick % value.steps.length;
      const at = {step, index: index % value.steps[step]!.taskCount};
      const name = `submitDeadly(${queue},${JSON.stringify(value.steps)},${JSON.stringify(at)})`;
      return command(name, world => world.submitDeadly(value, queue, at));
    });

/** Submits a workflow to a queue. */
const submission = (queue: TestQueueName): fc.Arbitrary<Command> =>
  submissionOf(queue === 'advised' ? smallSpec : spec, queue);

/** Submits a workflow whose tasks all fit on any single worker. */
export const smallSubmission = (queue: TestQueueName): fc.Arbitrary<Command> =>
  submissionOf(smallSpec, queue);

const submissionOf = (
  specs: fc.Arbitrary<WorkflowSpec>,
  queue: TestQueueName,
): fc.Arbitrary<Command> =>
  specs.map(value =>
    command(`submit(${queue},${JSON.stringify(value.steps)})`, world =>
      world.submit(value, queue),
    ),
  );

const repeatedSubmission: fc.Arbitrary<Command> = repeatedSpec.map(value =>
  command(
    `submitRepeated(${value.occurrences},${JSON.stringify(value.steps)})`,
    world => world.submit(value),
  ),
);

/** A workflow about which the adviser is asked before it is recorded. */
const earlySubmission: fc.Arbitrary<Command> = fc
  .record({value: smallSpec, isRepeated: fc.boolean()})
  .map(({value, isRepeated}) =>
    command(
      `submitEarly(${JSON.stringify(value.steps)},${isRepeated})`,
      world => world.submitEarly(value, 'advised', isRepeated),
    ),
  );

const commands: Array<fc.Arbitrary<Command>> = [
  submission('urgent'),
  submission('patient'),
  submission('advised'),
  fc
    .integer({min: 1, max: 4000})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc
    .integer({min: 1, max: 4000})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc.nat({max: 9}).map(i => command(`cancel(${i})`, w => w.cancel(i))),
  fc
    .boolean()
    .map(isUnaware =>
      command(`changeLeader(${isUnaware})`, w => w.changeLeader(isUnaware)),
    ),
  WORKER.map(i => command(`crash(${i})`, w => w.crashWorker(i))),
  WORKER.map(i => command(`restart(${i})`, w => w.restartWorker(i))),
  WORKER.map(i => command(`cut(${i})`, w => w.cutWorker(i))),
  WORKER.map(i => command(`drain(${i})`, w => w.drainWorker(i))),
  fc
    .record({
      index: WORKER,
      cpuMillis: fc.constantFrom(0, 500, 2000, 4000),
      memMb: fc.constantFrom(0, 150, 4000),
    })
    .map(({index, ...room}) =>
      command(`resize(${index},${JSON.stringify(room)})`, w =>
        w.resizeWorker(index, {...room, gpus: 0}),
      ),
    ),
  fc.constant(command('heal', w => w.heal())),
  fc
    .record({
      lossPercent: fc.constantFrom(0, 5, 20),
      latePercent: fc.constantFrom(0, 5, 20),
    })
    .map(faults =>
      command(`faults(${JSON.stringify(faults)})`, w => w.setFaults(faults)),
    ),
];

/**
 * Tasks that crash their workers, beside innocent ones; workers also leave, are
 * cut off, or go dark by the rack.
 */
const deadlyCommands: Array<fc.Arbitrary<Command>> = [
  submission('urgent'),
  submission('patient'),
  submission('advised'),
  deadlySubmission('urgent'),
  deadlySubmission('patient'),
  deadlySubmission('advised'),
  fc
    .integer({min: 1, max: 4000})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc
    .integer({min: 1, max: 4000})
    .map(ms => command(`advance(${ms})`, world => world.advance(ms))),
  fc
    .boolean()
    .map(isUnaware =>
      command(`changeLeader(${isUnaware})`, w => w.changeLeader(isUnaware)),
    ),
  fc
    .integer({min: 500, max: 4000})
    .map(ms => command(`crashRack(0,${ms})`, w => w.crashRack(0, ms))),
  WORKER.map(i => command(`cut(${i})`, w => w.cutWorker(i))),
  WORKER.map(i => command(`drain(${i})`, w => w.drainWorker(i))),
  fc.constant(command('heal', w => w.heal())),
];

/** Workers that deregister, and end 0 to 4 s after the acknowledgement. */
const leaving: fc.Arbitrary<Command> = fc
  .record({
    index: WORKER,
    afterMs: fc.integer({min: 0, max: 4000}),
    isDrainedFirst: fc.boolean(),
    isNeverAcknowledged: fc.constantFrom(false, false, true),
  })
  .map(({index, ...options}) =>
    command(`leave(${index},${JSON.stringify(options)})`, w =>
      w.leave(index, options),
    ),
  );

/** Words of other writers in the name of a worker. */
const forgery: fc.Arbitrary<Command> = fc
  .record({index: WORKER, word: fc.constantFrom(...FORGED_WORDS)})
  .map(({index, word}) =>
    command(`forge(${index},${word})`, w => w.forge(index, word)),
  );

/** The same about a worker that is cut off, or mute. */
const forgeryInSilence: fc.Arbitrary<Command> = fc
  .record({
    index: WORKER,
    word: fc.constantFrom(...FORGED_WORDS),
    muteMs: fc.constantFrom(0, 600, 2000),
  })
  .map(({index, word, muteMs}) =>
    command(`forgeInSilence(${index},${word},${muteMs})`, w => {
      if (muteMs > 0) w.muteWorker(index, muteMs);
      else w.cutWorker(index);
      w.forge(index, word);
    }),
  );

const silence: fc.Arbitrary<Command> = fc
  .record({index: WORKER, ms: fc.constantFrom(200, 600, 2000)})
  .map(({index, ms}) =>
    command(`mute(${index},${ms})`, w => w.muteWorker(index, ms)),
  );

const restart: fc.Arbitrary<Command> = WORKER.map(i =>
  command(`restart(${i})`, w => w.restartWorker(i)),
);

/** Fuzzing plan for tasks that crash the workers that start them. */
export const deadlyPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...workflowPlan(seed, runs),
  name: 'deadly tasks',
  commands: deadlyCommands,
  maxCommands: 40,
});

/** Fuzzing plan for successive leaderships over a few workers. */
export const workflowPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  name: 'workflow',
  seed,
  runs,
  commands,
  maxCommands: 60,
  setUp: async worldSeed => {
    const world = new WorkflowWorld(worldSeed);
    await world.start();
    return world;
  },
  finish: world => world.settle(),
});

/** Fuzzing plan for advice that is asked for while submissions are recorded. */
export const earlyAdvicePlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...workflowPlan(seed, runs),
  name: 'early advice',
  commands: [...commands, earlySubmission, earlySubmission, earlySubmission],
});

/** Fuzzing plan for workflows whose steps run several times. */
export const repeatedPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...workflowPlan(seed, runs),
  name: 'repeated workflows',
  commands: [...commands, repeatedSubmission, repeatedSubmission],
});

/** Fuzzing plan for workers whose lists hold no more than a few ends at a time. */
export const shortListsPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...workflowPlan(seed, runs),
  name: 'short lists of ends',
  setUp: async worldSeed => {
    const world = new WorkflowWorld(worldSeed, {maxListedEnds: 2});
    await world.start();
    return world;
  },
});

/** Fuzzing plan for workers that say goodbye and run on for a while. */
export const goodbyePlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...workflowPlan(seed, runs),
  name: 'goodbyes',
  commands: [
    ...commands,
    submission('urgent'),
    submission('patient'),
    ...Array.from({length: 4}, () => leaving),
    restart,
    restart,
    silence,
  ],
});

/** Fuzzing plan for words that others write in the name of workers. */
export const wordsPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...workflowPlan(seed, runs),
  name: 'words of other writers',
  commands: [
    ...commands,
    submission('urgent'),
    submission('patient'),
    ...Array.from({length: 3}, () => forgery),
    ...Array.from({length: 2}, () => forgeryInSilence),
    leaving,
    silence,
  ],
});

/** Fuzzing plan for workflows of customers, one of them with a cap. */
export const customersPlan = (
  seed: number,
  runs: number,
): AsyncFuzzPlan<EmptyModel, WorkflowWorld> => ({
  ...workflowPlan(seed, runs),
  name: 'customers',
  commands: [...commands, submission('urgent'), submission('patient'), leaving],
  setUp: async worldSeed => {
    const world = new WorkflowWorld(worldSeed, {hasCustomers: true});
    await world.start();
    return world;
  },
});
