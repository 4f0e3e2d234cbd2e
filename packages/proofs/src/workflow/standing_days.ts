/** Days of one kind of trouble each, on which no job may stand while workers are free. */
import type {WorkflowSpec} from '@primrosewick/state';
import {testSpec, testStep} from '@primrosewick/state/fixtures';
import type {WorkflowWorld} from './workflow_world.js';

/** Something that happens at a time of a day. */
export interface DayEvent {
  /** Time since the first trouble, in ms. */
  readonly atMs: number;
  readonly act: (world: WorkflowWorld) => void;
}

/** A day of trouble. */
export interface StandingDay {
  readonly title: string;
  /** Whether workers that end go dark; otherwise their connections are refused. */
  readonly isDark?: boolean;
  /** Seeds at which it has failed. */
  readonly seeds?: readonly number[];
  readonly events: readonly DayEvent[];
}

const TICK_MS = 20;
/** Time between two bursts of jobs, in ms. */
const BURST_MS = 2000;
const JOBS_PER_BURST = 24;
const PHASE_STEP_MS = 340;
/** Least time of calm traffic before the first trouble, in ms. */
const QUIET_MS = 4000;
/** Time from the last trouble to the end of the traffic, in ms. */
const AFTER_MS = 16_000;

/** Two small tasks: a burst of such jobs opens many connections, and fills a quarter of the room. */
export const SMALL_JOB: WorkflowSpec = testSpec([
  testStep({
    taskCount: 2,
    room: {cpuMillis: 100, memMb: 10, gpus: 0},
    estimateMs: 1000,
  }),
]);

const at = (atMs: number, act: (world: WorkflowWorld) => void): DayEvent => ({
  atMs,
  act,
});

const silence = (atMs: number): DayEvent =>
  at(atMs, world => world.silenceConnections());

/** A worker crashes and comes back. */
const crashFor = (index: number, atMs: number, downMs: number): DayEvent[] => [
  at(atMs, world => world.crashWorker(index)),
  at(atMs + downMs, world => world.restartWorker(index)),
];

/** Time between two crashes of a storm, and until a worker is back, in ms. */
const STORM_MS = 1700;
const STORM_DOWN_MS = 1000;
const STORM_CRASHES = 8;

/** Workers crash one after the other, and come back. */
const storm: DayEvent[] = Array.from({length: STORM_CRASHES}, (_, i) =>
  crashFor(i % 5, i * STORM_MS, STORM_DOWN_MS),
).flat();

/** Time from the goodbye of a worker to its end, in ms. */
const GOODBYE_MS = 20;

/** Two workers deregister, and are killed before most of their runs can be stopped. */
const goodbyes: DayEvent[] = [0, 1].flatMap(index => [
  at(0, world => world.leave(index, {afterMs: GOODBYE_MS})),
  at(GOODBYE_MS, world => world.crashWorker(index)),
]);

/** A day without trouble. */
export const QUIET_DAY: StandingDay = {title: 'no trouble', events: []};

/** All connections to workers go silent once. */
export const SILENT_DAY: StandingDay = {
  title: 'silent connections',
  events: [silence(0)],
};

/** Workers go dark one after the other, and come back. */
export const DARK_STORM: StandingDay = {
  title: 'workers that go dark and come back',
  isDark: true,
  events: storm,
};

/** The days, in the order of RULES.md and the measurements of the users. */
export const STANDING_DAYS: readonly StandingDay[] = [
  SILENT_DAY,
  {
    title: 'connections silent twice, 3 s apart',
    events: [0, 3000].map(silence),
  },
  {
    title: 'connections silent three times, 2 s apart',
    events: [0, 2000, 4000].map(silence),
  },
  {
    title: 'silent connections to one worker',
    events: [at(0, world => world.silenceConnections(0))],
  },
  {
    title: 'silent connections beside a worker that crashes and stays away',
    seeds: [4, 10],
    events: [silence(0), at(1000, world => world.crashWorker(1))],
  },
  {
    title: 'silent connections beside a worker that crashes and comes back',
    seeds: [13],
    events: [silence(0), ...crashFor(1, 1000, 2000)],
  },
  {
    title: 'a worker that is killed and stays away',
    seeds: [3, 5],
    events: [at(0, world => world.crashWorker(0))],
  },
  {
    title: 'a worker that goes dark and stays away',
    isDark: true,
    seeds: [3, 9, 13],
    events: [at(0, world => world.crashWorker(0))],
  },
  {
    title: 'two workers that say goodbye and are killed 20 ms later',
    seeds: [19, 37],
    events: goodbyes,
  },
  {title: 'crashes of workers that come back', events: storm},
  DARK_STORM,
];

/** Time from a burst of jobs to the first trouble, in ms; each seed has its own. */
const phaseOf = (seed: number): number => (seed * PHASE_STEP_MS) % BURST_MS;

/** Plays a day with steady traffic, and ends it when all has been calm for long. */
export const playDay = async (
  world: WorkflowWorld,
  {events}: StandingDay,
  seed: number,
): Promise<void> => {
  const quietMs = QUIET_MS + phaseOf(seed);
  const lastMs = Math.max(0, ...events.map(({atMs}) => atMs));
  const endMs = quietMs + lastMs + AFTER_MS;
  for (let ms = 0; ms < endMs; ms += TICK_MS) {
    if (ms % BURST_MS === 0)
      for (let i = 0; i < JOBS_PER_BURST; i++) world.submit(SMALL_JOB);
    for (const {atMs, act} of events) if (atMs + quietMs === ms) act(world);
    await world.advance(TICK_MS);
  }
};
