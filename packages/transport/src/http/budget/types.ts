/** Types and sizes of the budget for peers. */
import type {Branded} from '@primrosewick/state';

/** A connection, unique in the process. */
export type ConnectionId = Branded<number, 'ConnectionId'>;
/** A server of the process. */
export type ServerId = Branded<number, 'ServerId'>;
/** IP address of a peer. */
export type PeerAddress = Branded<string, 'PeerAddress'>;

/** Why a connection was closed or a request was rejected. */
export const CLOSE_REASONS = [
  'bytes',
  'connections',
  'pipeline',
  'unread',
] as const;
/** Why a connection was closed or a request was rejected. */
export type CloseReason = (typeof CLOSE_REASONS)[number];

/** Limits of a process. */
export interface BudgetLimits {
  /** Bytes that all peers together may make the process hold. */
  readonly maxBytes: number;
  readonly maxConnections: number;
}

/** What the platform grants a process. */
export interface ProcessLimits {
  readonly memoryMb: number;
  readonly maxFds: number;
}

/** Assumed where the settings name no limits. */
export const DEFAULT_PROCESS_LIMITS: ProcessLimits = {
  memoryMb: 250,
  maxFds: 4096,
};

/** What an open connection costs by itself; 1,240 idle ones took 8 MB. */
export const CONNECTION_BYTES = 8192;
/** What a parsed request and its handling cost beside headers and body. */
export const REQUEST_BYTES = 8192;

const MB = 1024 * 1024;
/**
 * Part of the memory for peers. Freed buffers stay until the next collection, so
 * the resident memory may rise by several times this.
 */
const MEMORY_FRACTION = 1 / 16;
/** Room for one configuration of the largest size while it grows, in MB. */
const MIN_BUDGET_MB = 10;
/** Part of the descriptors for peers; the rest is for workers, VMs and files. */
const DESCRIPTOR_FRACTION = 3 / 4;

/** Derives the limits of the budget from those of the process. */
export const budgetLimitsOf = ({
  memoryMb,
  maxFds,
}: ProcessLimits): BudgetLimits => ({
  maxBytes: Math.max(MIN_BUDGET_MB, memoryMb * MEMORY_FRACTION) * MB,
  maxConnections: Math.max(1, Math.floor(maxFds * DESCRIPTOR_FRACTION)),
});
