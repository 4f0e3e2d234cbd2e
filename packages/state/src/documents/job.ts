/** Jobs: tasks that run on workers until they end. */
import {z} from 'zod';
import type {ProfileName, TeamName} from '../ids/types.js';
import {nameSchema} from './names.js';
import {MAX_DURATION_MS} from './profile.js';

/** Maximum number of tasks of one job. */
export const MAX_TASKS_PER_JOB = 10_000;
const MAX_CPU_MILLIS = 1_024_000;
const MAX_MEMORY_MB = 16 * 1024 * 1024;
const MAX_ACCELERATORS = 64;
const MAX_COMMAND_LENGTH = 4096;

/** Resources of a worker that one task needs. */
export const sizeSchema = z.strictObject({
  cpuMillis: z
    .int()
    .min(1)
    .max(MAX_CPU_MILLIS)
    .describe('Processor share, in thousandths of a core.'),
  memoryMb: z.int().min(1).max(MAX_MEMORY_MB).describe('Memory, in MiB.'),
  accelerators: z
    .int()
    .min(0)
    .max(MAX_ACCELERATORS)
    .default(0)
    .describe('Accelerators, whole.'),
});

/** A job as a client submits it. */
export const jobSpecSchema = z.strictObject({
  team: nameSchema<TeamName>().describe('Team whose quota the job uses.'),
  profile: nameSchema<ProfileName>().describe('Profile the job runs under.'),
  taskCount: z
    .int()
    .min(1)
    .max(MAX_TASKS_PER_JOB)
    .describe('Number of equal tasks.'),
  gang: z
    .boolean()
    .default(false)
    .describe('Whether all tasks must run at once.'),
  priority: z
    .int()
    .min(0)
    .max(9)
    .default(4)
    .describe('Jobs with a higher number go first; 9 is urgent.'),
  size: sizeSchema.describe('Size of each task.'),
  command: z
    .string()
    .min(1)
    .max(MAX_COMMAND_LENGTH)
    .describe('What the worker runs.'),
  runMs: z
    .int()
    .min(1)
    .max(MAX_DURATION_MS)
    .describe('Declared run time of a task, in ms.'),
});

/** Resources of a worker that one task needs. */
export type Size = z.output<typeof sizeSchema>;
/** A job as a client submits it. */
export type JobSpec = z.output<typeof jobSpecSchema>;

/** How a task ended. */
export const taskOutcomeSchema = z.enum([
  'succeeded',
  'failed',
  /** Cancelled; it may have run in part. */
  'cancelled',
  /** Cancelled before it was ever started. */
  'not_run',
  'unknown',
]);
/** How a task ended. */
export type TaskOutcome = z.output<typeof taskOutcomeSchema>;
