/** Types of reads that wait for the end of a workflow. */
import type {Branded} from '../../ids/types.js';
import type {WorkflowId} from '../types.js';

/** Number of a read, in the order in which reads began to wait. */
export type ReadId = Branded<number, 'ReadId'>;

/** A read that waits for the end of a workflow. */
export interface BlockingRead {
  readonly id: ReadId;
  readonly workflow: WorkflowId;
  /** Priority of the queue of the workflow; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time until which it waits, in ms. */
  readonly deadline: number;
}

/** Why a read no longer waits. */
export type ReadRelease =
  /** Its workflow has ended. */
  | 'ended'
  | 'deadline'
  /** Too many reads wait, and others are more urgent or began later. */
  | 'displaced'
  /** Its caller has gone, or no longer wants to wait. */
  | 'cancelled'
  /** The replica has no recent contact to the leader, so no end may arrive. */
  | 'stale'
  /** The replica was replaced by a snapshot, which may contain the end. */
  | 'replaced'
  /** This process is about to stop. */
  | 'stopping';
