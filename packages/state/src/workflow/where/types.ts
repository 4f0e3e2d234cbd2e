/** What a job would meet if it were submitted now. */
import type {Customer, Queue} from '../../bundle/types.js';
import type {CustomerName, WorkerId, ZoneId} from '../../ids/types.js';
import type {CapWait, WaitReason} from '../planner/types.js';
import type {Resources, WorkflowId, WorkflowSpec} from '../types.js';

/** A job that is not sent. */
export interface PlacementQuestion {
  readonly queue: Queue;
  readonly spec: WorkflowSpec;
  /** Customer whose key the caller gave; absent without one. */
  readonly customer?: Customer;
  /** Zone of the entry that would receive it. */
  readonly zone?: ZoneId;
  /** By default one that no client can choose. */
  readonly id?: WorkflowId;
}

/** Why a worker can't start a task of a step now. */
export type RuledOut =
  | {readonly why: 'wrong_pool' | 'label' | 'draining' | 'not_usable'}
  /** It has too little left of a resource, or is too small. */
  | {readonly why: 'room' | 'too_small'; readonly dimension: keyof Resources}
  /** Its room is reserved for another step. */
  | {readonly why: 'reserved'}
  /** It runs as many tasks of the step as one worker may. */
  | {readonly why: 'per_worker'}
  | {readonly why: 'adviser_not_asked' | 'adviser_not_allowing'}
  /** It is kept for a task under which workers have crashed. */
  | {readonly why: 'kept_for_suspect'};

/** Workers that are ruled out for one reason; the first few are named. */
export type RuledOutGroup = RuledOut & {
  readonly count: number;
  readonly workers: readonly WorkerId[];
};

/** A worker on which a task of a step could start. */
export interface Candidate {
  readonly worker: WorkerId;
  /** Lowest best. */
  readonly score: number;
  /** Its speed, as far as speeds are known to differ; else 1. */
  readonly speed: number;
}

/** What holds a step back. */
export type Binding =
  | {readonly kind: 'room' | 'too_small'; readonly dimension: keyof Resources}
  /** Steps before it in the order of service take the room. */
  | {readonly kind: 'order'}
  /** These steps go first, as its customer holds its share or more. */
  | {readonly kind: 'share'}
  | {readonly kind: 'cap'; readonly cap?: CapWait}
  | {readonly kind: 'advice' | 'reserved' | 'quarantine' | 'per_worker'}
  /** No worker of its pool is usable and has the label that it requires. */
  | {readonly kind: 'no_worker'};

/** Tasks of a step that do not start now. */
export interface StepWait {
  readonly why: WaitReason;
  readonly taskCount: number;
  readonly binding: Binding;
}

/** Expected times in ms from now; absent if unknown. */
export interface ExpectedTimes {
  readonly startMs?: number;
  readonly endMs?: number;
}

/** Tasks that would start on one worker. */
export interface StepStart {
  readonly worker: WorkerId;
  readonly taskCount: number;
}

/** What a step whose turn comes now would meet. */
export interface ReadyStepAnswer extends ExpectedTimes {
  readonly kind: 'ready';
  readonly step: number;
  readonly starts: readonly StepStart[];
  /** Given if not all its tasks start. */
  readonly wait?: StepWait;
  /** The best few, best first, before the first task of the step is placed. */
  readonly candidates: readonly Candidate[];
  readonly candidateCount: number;
  readonly ruledOut: readonly RuledOutGroup[];
}

/** A step that follows others, or whose workflow is timed. */
export interface LaterStepAnswer extends ExpectedTimes {
  readonly kind: 'later';
  readonly step: number;
  readonly after: readonly number[];
}

/** One step of the job. */
export type StepAnswer = ReadyStepAnswer | LaterStepAnswer;

/** Whether the job would be accepted. */
export type AdmissionAnswer =
  | {readonly kind: 'admitted'; readonly isBeyondRate: boolean}
  | {
      readonly kind: 'rejected';
      readonly why: 'backlog' | 'over_rate';
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'rejected';
      readonly why: 'cap_exceeded' | 'too_large';
      readonly detail: string;
    };

/** The customer of a job, without its keys. */
export interface CustomerAnswer {
  readonly name: CustomerName;
  readonly weight: number;
  /** Resources that it may have running. */
  readonly used: Resources;
  /** Its cap; 0 for no limit. */
  readonly cap: Resources;
  /** Dominant share of the pool that it holds. */
  readonly share: number;
  /** Share that its weight gives it among those with work in the pool. */
  readonly fairShare: number;
}

/** Where a job would go, and why. */
export interface PlacementAnswer {
  /** Wall time of the answer, in ms since 1970. */
  readonly at: number;
  readonly queue: Pick<Queue, 'name' | 'pool' | 'priority'>;
  readonly customer?: CustomerAnswer;
  readonly admission: AdmissionAnswer;
  /** Steps of the first occurrence; empty for a job that is rejected. */
  readonly steps: readonly StepAnswer[];
  /** Expected time until all of them are done, in ms; absent if unknown. */
  readonly endMs?: number;
}
