/** Ports for calls to workers and advisers, implemented by platform adapters. */
import type {AdviceReply} from '@primrosewick/protocol';
import type {
  RunEnd,
  StepRef,
  TaskRef,
  WorkerId,
  WorkerIncarnation,
} from '@primrosewick/state';

/** An incarnation of a worker and its address. */
export interface WorkerTarget extends WorkerIncarnation {
  readonly address: string;
  /**
   * Whether its orders are outdated by now. One that has waited for a connection
   * must not be sent then: another incarnation may hold the address.
   */
  readonly isOutdated?: () => boolean;
}

/** Order to start a run. */
export interface StartOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly payload: string;
  /** End of the worker's lease, on the worker's own clock, in ms. */
  readonly leaseEnd: number;
  /** Fencing token: the worker rejects orders below the highest that it has seen. */
  readonly fence: number;
  readonly checkpoint: string;
  readonly ticket?: string;
}

/** A start without its fence and lease, which are determined when it is sent. */
export type StartRequest = Omit<StartOrder, 'fence' | 'leaseEnd'>;

/** Order to stop a run. */
export interface StopOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly fence: number;
}

/** Order to renew the lease of all runs on a worker and to list them. */
export interface HoldOrder {
  readonly fence: number;
  /** End of the worker's lease, on the worker's own clock, in ms. */
  readonly leaseEnd?: number;
  /** Sequence number up to which ends are recorded, so that the worker can drop them. */
  readonly endsRecorded: number;
  /** How long the worker may wait for a run to end before it answers, in ms. */
  readonly waitMs: number;
}

/** Why a worker refused an order; a refused order is not executed. */
export type OrderRefusal =
  | 'stale_fence'
  | 'old_run'
  | 'late'
  | 'no_room'
  | 'no_ticket'
  | 'invalid'
  | 'unhealthy';

/** Failure of an order. */
export type OrderFailure =
  | {
      readonly kind: 'refused';
      readonly why: OrderRefusal;
      readonly clockMs?: number;
    }
  /**
   * Another incarnation answered at the address. `isNextLife` if it is one of the
   * same worker, which may have executed the order.
   */
  | {readonly kind: 'other_life'; readonly isNextLife?: boolean}
  /** No connection could be made or the order was withheld, so it was not executed. */
  | {readonly kind: 'not_sent'; readonly detail: string}
  /** No complete answer came: the order may have been executed, or may be executed later. */
  | {readonly kind: 'no_answer'; readonly detail: string};

/** Answer to a start or stop. */
export type OrderAnswer =
  {readonly kind: 'accepted'; readonly clockMs: number} | OrderFailure;

/** A run that a worker lists as running. */
export interface ListedRun {
  readonly task: TaskRef;
  readonly run: number;
  /** Latest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Percentage of the work done or, for a serving task, of it that is busy; 0 to 100. */
  readonly percent: number;
  /** Tail latency in ms for a serving task; used processor time for any other. */
  readonly load: number;
}

/** A row of a worker's lists that could not be decoded. */
export type UnreadableRow =
  /** `task` is absent where not even the task is known. */
  | {readonly list: 'running'; readonly task?: TaskRef}
  /** `sequence` is absent where not even the place among the ends is known. */
  | {readonly list: 'ended'; readonly sequence?: number};

/** Answer to a hold. */
export type HoldAnswer =
  | {
      readonly kind: 'lists';
      readonly clockMs: number;
      readonly running: readonly ListedRun[];
      readonly ended: readonly RunEnd[];
      /**
       * Whether more ends may follow once these are recorded. Such a list proves
       * of no run that it has not ended.
       */
      readonly mayLackEnds: boolean;
      /** Rows that are in neither list; absent if there are none. */
      readonly unreadable?: readonly UnreadableRow[];
    }
  | OrderFailure;

/** Sends orders to workers. Calls never reject, and each has its own deadline. */
export interface OrderPort {
  start(target: WorkerTarget, order: StartOrder): Promise<OrderAnswer>;
  stop(target: WorkerTarget, order: StopOrder): Promise<OrderAnswer>;
  hold(target: WorkerTarget, order: HoldOrder): Promise<HoldAnswer>;
}

/** Calls the placement adviser, which serves one call at a time for each VM. */
export interface AdvicePort {
  /**
   * Waits for an answer until a deadline of the monotonic clock, in ms.
   * @throws CellError if the adviser cannot be asked or refuses.
   */
  advise(
    step: StepRef,
    workers: readonly WorkerId[],
    deadline: number,
  ): Promise<AdviceReply>;
}
