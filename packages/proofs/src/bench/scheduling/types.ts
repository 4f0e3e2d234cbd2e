/** Policies and results of a simulation. */
import type {Plan, PlanInput} from '@primrosewick/state';
import type {Arrival} from './load.js';
import type {StopFigures} from './stop_counter.js';

/** Computes the plan of one scheduling pass. */
export type Policy = (input: PlanInput) => Plan;

/** What a simulated planner knows of run times and of the speeds of workers. */
export type Knowledge =
  /** The estimates of the clients. */
  | 'declared'
  /** What is learned from the ends of runs. */
  | 'learned'
  /** The true means and speeds. */
  | 'true';

/** Result of one workflow. */
export interface WorkflowOutcome {
  readonly arrival: Arrival;
  /**
   * Time from arrival to the start of its first task, in ms; undefined if none
   * started.
   */
  readonly waitMs: number | undefined;
  /**
   * Time from arrival to completion, in ms; undefined if it did not complete.
   */
  readonly doneMs: number | undefined;
}

/** Result of one simulation. */
export interface ClusterResult {
  readonly outcomes: readonly WorkflowOutcome[];
  /**
   * Fraction of the workers' CPU time during the load that went into completed
   * work.
   */
  readonly usedShare: number;
  /** Fraction of the work that was discarded or spent on restarts. */
  readonly lostShare: number;
  readonly stops: StopFigures;
  /** Number of runs that started. */
  readonly runCount: number;
  /** Number of workflows that were refused and not taken later. */
  readonly refusedCount: number;
}
