/** Crashes of workers, and the tasks under which they happened. */
import type {Branded} from '../../ids/types.js';
import type {
  TaskKey,
  TaskRef,
  WorkerIncarnation,
  WorkflowId,
} from '../types.js';

/**
 * What is blamed for a crash as one: a task, or a gang, whose members start and
 * end together.
 */
export type CrashUnit = Branded<string, 'CrashUnit'>;

/** What the leader knew of a worker when its crash was proved. */
export interface CrashEvidence {
  /** Wall time of the proof, in ms since 1970. */
  readonly at: number;
  /** Wall time of the worker's last answer; absent if this leader had none. */
  readonly heardAt?: number;
  /** Number of other workers that fell silent at the same moment. */
  readonly togetherCount: number;
  /**
   * Starts without an answer at that moment, which the crashed incarnation
   * cannot have received, or if `isDark` may not; absent if there are none.
   */
  readonly inFlight?: readonly TaskKey[];
  /**
   * Whether an answer was overdue before anything told that it was gone, as behind
   * a cut: it may have crashed long after its last answer. Absent if not, and in
   * older records.
   */
  readonly isDark?: boolean;
}

/** A crash of a worker that had just started a unit. */
export interface UnitCrash extends WorkerIncarnation {
  /** Wall time of the proof, in ms since 1970. */
  readonly at: number;
  /** Whether nothing else had just been started there, and it ran when the worker crashed. */
  readonly isSole: boolean;
  /** Number of units that are blamed for it; absent in older records. */
  readonly groupSize?: number;
  /** Whether others fell silent with it, so that it blames nothing. */
  readonly isTogether: boolean;
  /** Whether it came unseen, see {@link CrashEvidence}; absent if not. */
  readonly isDark?: boolean;
}

/** The crashes under one unit. */
export interface CrashRecord {
  readonly unit: CrashUnit;
  readonly workflow: WorkflowId;
  /** The latest ones, in the order of their proof. */
  readonly crashes: readonly UnitCrash[];
  /** Latest run that was counted. */
  readonly lastRun: number;
}

/** A run on a worker that crashed. */
export interface CrashedRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly unit: CrashUnit;
  /** Wall time of its record, in ms since 1970; absent in older records. */
  readonly startedAt?: number;
}

/** A worker that crashed, with its runs. */
export interface CrashedWorker {
  readonly life: WorkerIncarnation;
  readonly runs: readonly CrashedRun[];
  readonly evidence: CrashEvidence;
}
