/**
 * Versioned bundle of queues, pools and limits that an operator replaces as a
 * whole. The highest version is in effect.
 */
import type {
  Branded,
  CustomerName,
  KeyDigest,
  ServiceName,
} from '../ids/types.js';
import type {Resources} from '../workflow/types.js';

/** Name of a queue of workflows. */
export type QueueName = Branded<string, 'QueueName'>;

/**
 * Duration of a call to the placement adviser of a queue, and validity of its
 * tickets.
 */
export interface AdviceTiming {
  /** Fixed time of one call, in ms. */
  readonly baseMs: number;
  /** Time for each worker listed in a call, in ms. */
  readonly perWorkerMs: number;
  /** How long a ticket is valid, in ms. */
  readonly validMs: number;
}

/** A queue that clients submit workflows to. */
export interface Queue {
  readonly name: QueueName;
  /** Host under which clients reach the queue. */
  readonly host: string;
  /** Path prefix under which clients reach the queue. */
  readonly prefix: string;
  /** Pool whose workers run the tasks. */
  readonly pool: ServiceName;
  /** 0 is served first. */
  readonly priority: number;
  /**
   * Number of failed runs of one task, or of one gang, after which its workflow
   * fails.
   */
  readonly maxAttempts: number;
  /** Factor on the longest chain of work within the latency objective. */
  readonly stretch: number;
  /** Fixed part of the latency objective, in ms. */
  readonly objectiveMs: number;
  /** Absent where every worker of the pool may run every step. */
  readonly advice?: AdviceTiming;
  /** Whether clients may call it without a key. */
  readonly isPublic?: boolean;
}

/** A customer, whose clients authenticate with its keys. */
export interface Customer {
  readonly name: CustomerName;
  /** Digests of its keys; the keys stand only in the source of the bundle. */
  readonly keyDigests: readonly KeyDigest[];
  /** Breaks ties between equal shares; lower goes first. */
  readonly priority: number;
  /**
   * Workflows per second within its rate, and its share of a full pool relative
   * to other customers; 0 for no rate.
   */
  readonly weight: number;
  /** Resources that it may have running on all workers; 0 for no limit. */
  readonly cap: Resources;
}

/** A pool of workers. */
export interface Pool {
  readonly name: ServiceName;
  /** Connections that one worker accepts. */
  readonly maxConnections: number;
  /** Whether its workers refuse what does not fit. */
  readonly guardsAdmission: boolean;
  /** Whether its VMs are switched off. */
  readonly isStandby: boolean;
  readonly healthPath: string;
}

/** Limits on client requests. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Queues, pools and limits of one version. */
export interface Bundle {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
  readonly limits: ClientLimits;
  /** Absent where clients are not authenticated. */
  readonly customers?: readonly Customer[];
  /** The bundle as the operator sent it; not interpreted here. */
  readonly source: string;
}
