/** Calls to workers and advisers; the seams at which an adapter speaks for them. */
import type {AdviceReply} from '@primrosewick/protocol';
import type {
  RunEnd,
  StepRef,
  TaskRef,
  WorkerId,
  WorkerIncarnation,
} from '@primrosewick/state';

/** Where a life of a worker is reached. */
export interface WorkerTarget extends WorkerIncarnation {
  readonly address: string;
}

/** Orders the start of a run. */
export interface StartOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly payload: string;
  /** End of the worker's lease, on the worker's own clock, in ms. */
  readonly leaseEnd: number;
  /** The worker obeys no lower fence than the highest that it has seen. */
  readonly fence: number;
  readonly checkpoint: string;
  readonly ticket?: string;
}

/** A start as the planner wishes it; its fence and lease are those of the sending. */
export type StartRequest = Omit<StartOrder, 'fence' | 'leaseEnd'>;

/** Orders the stop of a run. */
export interface StopOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly fence: number;
}

/** Extends the lease of everything on a worker, and asks what runs there. */
export interface HoldOrder {
  readonly fence: number;
  /** End of the worker's lease, on the worker's own clock, in ms. */
  readonly leaseEnd?: number;
  /** Number up to which ends are recorded, so that the worker forgets them. */
  readonly endsRecorded: number;
  /** How long the worker may wait for a new end before it answers, in ms. */
  readonly waitMs: number;
}

/** Why a worker refuses an order, and so has not executed it. */
export type OrderRefusal =
  | 'stale_fence'
  | 'old_run'
  | 'late'
  | 'no_room'
  | 'no_ticket'
  | 'invalid'
  | 'unhealthy';

/** What became of an order that brought no list. */
export type OrderFailure =
  | {
      readonly kind: 'refused';
      readonly why: OrderRefusal;
      readonly clockMs?: number;
    }
  /** Another life of a worker answers at the address. */
  | {readonly kind: 'other_life'}
  /** No connection could be made, so that nothing was executed. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** No whole answer came: the order may have been executed, or may be later. */
  | {readonly kind: 'no_answer'; readonly detail: string};

/** Answer to a start or stop. */
export type OrderAnswer =
  {readonly kind: 'accepted'; readonly clockMs: number} | OrderFailure;

/** A run that a worker lists as under way. */
export interface ListedRun {
  readonly task: TaskRef;
  readonly run: number;
  /** Latest checkpoint; empty without one. */
  readonly checkpoint: string;
  /** Share of the work that is done, or of a serving task that is at work, 0 to 100. */
  readonly percent: number;
  /** Tail latency in ms of a task that serves; used processor time of others. */
  readonly load: number;
}

/** Answer to a hold. */
export type HoldAnswer =
  | {
      readonly kind: 'lists';
      readonly clockMs: number;
      readonly running: readonly ListedRun[];
      readonly ended: readonly RunEnd[];
    }
  | OrderFailure;

/** Gives orders to workers. No call throws; each has a deadline of its own. */
export interface OrderPort {
  start(target: WorkerTarget, order: StartOrder): Promise<OrderAnswer>;
  stop(target: WorkerTarget, order: StopOrder): Promise<OrderAnswer>;
  hold(target: WorkerTarget, order: HoldOrder): Promise<HoldAnswer>;
}

/** Asks the placement adviser, which serves one call at a time for each VM. */
export interface AdvicePort {
  /** @throws CellError when no answer came. */
  advise(step: StepRef, workers: readonly WorkerId[]): Promise<AdviceReply>;
}
