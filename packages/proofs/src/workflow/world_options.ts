/** Options of the world of the scheduler. */
import type {ConnectionPolicy} from './sim_connections.js';

/** Options of a world. */
export interface WorkflowWorldOptions {
  /** Maximum number of ends that one list of a worker holds. */
  readonly maxListedEnds: number;
  /** Duration of each run, in ms; drawn for each by default. */
  readonly runMs?: number;
  /** Longest lease that workers accept, in ms. */
  readonly maxLeaseMs: number;
  /** How leaders keep connections to workers. */
  readonly connectionPolicy: ConnectionPolicy;
  /** Whether connections to a worker that is down are refused; otherwise nothing comes. */
  readonly refusesWhenDown: boolean;
  /** Whether no workflow may stand in calm times while workers are free. */
  readonly checksStanding: boolean;
  /** Whether the workflows belong to customers, one of them with a cap. */
  readonly hasCustomers: boolean;
}

/** Options that a world has unless it is given others. */
export const DEFAULTS: WorkflowWorldOptions = {
  maxListedEnds: 500,
  maxLeaseMs: 8000,
  connectionPolicy: 'one_a_call',
  refusesWhenDown: false,
  checksStanding: false,
  hasCustomers: false,
};
