/** Draws how the runs of tasks go. */
import {
  taskKey,
  type Random,
  type TaskKey,
  type TaskRef,
} from '@primrosewick/state';
import type {RunDraw} from './sim_worker.js';

/** Options of {@link RunDraws}. */
export interface RunDrawsOptions {
  readonly random: Random;
  /** Duration of each run, in ms; drawn for each if undefined. */
  readonly runMs: number | undefined;
}

/** Bounds of the duration of a run, in ms. */
const RUN_MS = [20, 3000] as const;
/** One of so many runs fails. */
const RUNS_PER_FAILURE = 20;
/** Bounds of the time that a worker is down after a crash by a task, in ms. */
const CRASHED_FOR_MS = [2500, 4000] as const;

/** Decides how long runs take, and which of them fail or crash their workers. */
export class RunDraws {
  private readonly deadly = new Set<TaskKey>();

  constructor(private readonly options: RunDrawsOptions) {}

  /** Makes a task crash each worker that starts it. */
  makeDeadly(task: TaskRef): void {
    this.deadly.add(taskKey(task));
  }

  /** Whether a task crashes each worker that starts it. */
  isDeadly(task: TaskRef): boolean {
    return this.deadly.has(taskKey(task));
  }

  /** Draws how a run of a task goes. */
  draw(task: TaskRef): RunDraw {
    const {random, runMs} = this.options;
    return {
      runMs: runMs ?? random.nextInt(...RUN_MS),
      fails: random.nextInt(0, RUNS_PER_FAILURE - 1) === 0,
      ...(this.isDeadly(task) && {
        crashesForMs: random.nextInt(...CRASHED_FOR_MS),
      }),
    };
  }
}
