/**
 * Load patterns like whole days with trouble: a cell that is filled from the
 * start, bursts, times without a leader, and a leader whose passes cost time.
 */
import type {LeaderTiming} from './leader_pace.js';
import {
  CHECKS,
  CURVES,
  LOOKUPS,
  type LoadPattern,
  type WorkflowKind,
} from './load.js';

/** A leader on a machine with time to spare, and one on a slow machine. */
const BUSY_LEADER: LeaderTiming = {
  passMs: 5,
  passPerWaitMs: 0.08,
  pauseFactor: 2,
  commitMs: 40,
  tellMs: 150,
};
const SLOW_LEADER: LeaderTiming = {
  passMs: 20,
  passPerWaitMs: 0.3,
  pauseFactor: 2,
  commitMs: 120,
  tellMs: 250,
};

const MESH_KINDS: readonly WorkflowKind[] = [
  {
    ...CURVES,
    arrivalsPerSecond: 3,
    worth: 13.1,
    tasks: 20,
    taskMs: 5000,
    memMb: 9000,
    initialCount: 18,
    advice: {baseMs: 430, perWorkerMs: 6.2, validMs: 2000, allowedShare: 0.35},
  },
  {
    ...CHECKS,
    arrivalsPerSecond: 7.8,
    worth: 3.17,
    tasks: 25,
    taskMs: 2200,
    cpuMillis: 3500,
    memMb: 5000,
    maxEstimateError: 0.2,
    initialCount: 25,
    advice: {baseMs: 80, perWorkerMs: 1.1, validMs: 2000, allowedShare: 0.45},
  },
  {
    ...LOOKUPS,
    arrivalsPerSecond: 87,
    worth: 0.398,
    tasks: 3.2,
    taskMs: 640,
    cpuMillis: 5000,
    memMb: 7100,
    maxEstimateError: 0.5,
    advice: {baseMs: 7.2, perWorkerMs: 0.1, validMs: 2000, allowedShare: 0.7},
  },
];

const LENDING_KINDS: readonly WorkflowKind[] = [
  {
    ...MESH_KINDS[0]!,
    arrivalsPerSecond: 3.8,
    worth: 8.44,
    taskMs: 4000,
    memMb: 26_000,
    advice: {baseMs: 340, perWorkerMs: 4.9, validMs: 2500, allowedShare: 0.35},
  },
  {
    ...MESH_KINDS[1]!,
    arrivalsPerSecond: 5,
    worth: 3.99,
    taskMs: 3400,
    memMb: 13_000,
    maxEstimateError: 0.9,
    advice: {baseMs: 120, perWorkerMs: 1.8, validMs: 2500, allowedShare: 0.45},
  },
  {
    ...MESH_KINDS[2]!,
    arrivalsPerSecond: 70,
    worth: 0.401,
    taskMs: 800,
    memMb: 14_000,
    maxEstimateError: 0.9,
    advice: {baseMs: 9, perWorkerMs: 0.13, validMs: 2500, allowedShare: 0.7},
  },
];

/** The leader is frozen, and lost once more later; workers leave near the end. */
const MESH_DAY: LoadPattern = {
  name: 'day: gangs of 5 s',
  kinds: MESH_KINDS,
  workerCount: 245,
  callerCount: 43,
  durationMs: 34_000,
  workerMemMb: 65_536,
  restoreMs: 100,
  maxStopMs: 400,
  hasAdmission: true,
  leader: BUSY_LEADER,
  outages: [
    {at: 2000, durationMs: 3000},
    {at: 14_000, durationMs: 1000},
  ],
  bursts: [
    {kind: 'lookups', at: 6400, durationMs: 4000, factor: 1.8},
    {kind: 'curves', at: 23_000, durationMs: 4000, factor: 1.5},
  ],
  losses: [{at: 26_900, count: 6}],
};

const LENDING_DAY: LoadPattern = {
  ...MESH_DAY,
  name: 'day: gangs of 4 s, much memory',
  kinds: LENDING_KINDS,
  durationMs: 41_000,
  workerMemMb: 131_072,
  restoreMs: 600,
  outages: [
    {at: 2000, durationMs: 3000},
    {at: 12_000, durationMs: 1000},
  ],
  bursts: [
    {kind: 'lookups', at: 8300, durationMs: 4000, factor: 2},
    {kind: 'curves', at: 18_000, durationMs: 4000, factor: 1.7},
  ],
  losses: [{at: 25_500, count: 7}],
};

const OVERLOAD_FACTOR = 1.6;

/** The lowest priority gets no call slots in it for many seconds. */
const OVERLOADED_DAY: LoadPattern = {
  ...MESH_DAY,
  name: 'day: gangs of 5 s, overloaded, eight seconds without a leader',
  durationMs: 24_000,
  kinds: MESH_KINDS.map(kind => ({
    ...kind,
    arrivalsPerSecond: OVERLOAD_FACTOR * kind.arrivalsPerSecond,
  })),
  outages: [
    {at: 2000, durationMs: 7900},
    {at: 14_000, durationMs: 1000},
  ],
};

/**
 * A slow leader that is frozen, and the whole day with its end, after which
 * nothing is earned.
 */
const FROZEN_LEADER_DAY: LoadPattern = {
  ...MESH_DAY,
  name: 'day: gangs of 5 s, slow leader, eight seconds without it',
  durationMs: 41_000,
  drainMs: 14_000,
  leader: SLOW_LEADER,
  outages: [
    {at: 2000, durationMs: 7900},
    {at: 14_000, durationMs: 1000},
  ],
};

/** Load patterns of whole days. */
export const DAYS: readonly LoadPattern[] = [
  MESH_DAY,
  LENDING_DAY,
  {...MESH_DAY, name: 'day: gangs of 5 s, slow leader', leader: SLOW_LEADER},
  {
    ...MESH_DAY,
    name: 'day: gangs of 5 s, eight seconds without a leader',
    outages: [
      {at: 2000, durationMs: 7900},
      {at: 14_000, durationMs: 1000},
    ],
  },
  OVERLOADED_DAY,
  FROZEN_LEADER_DAY,
  {
    ...MESH_DAY,
    name: 'day: gangs of 5 s, a sixth of the workers lost',
    losses: [
      {at: 8000, count: 20},
      {at: 20_000, count: 20},
    ],
  },
];
