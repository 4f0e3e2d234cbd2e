import {Subject, firstValueFrom, race} from 'rxjs';
import {
  asId,
  assertNever,
  jobOfTask,
  type CellCommand,
  type CellImage,
  type CellResult,
  type JobId,
} from '@primrosewick/state';
import type {
  FollowEntry,
  FollowReply,
  FollowRequest,
} from '@primrosewick/protocol';
import type {Clock} from '@primrosewick/transport';
import type {ReplicatedStateMachine} from '../consensus/task_options.js';
import {Replica} from './core.js';

/** What a change of the replica affected. */
export interface ReplicaChange {
  readonly index: number;
  /** Jobs that changed, or `all` after an image. */
  readonly jobs: readonly JobId[] | 'all';
}

/** Owns the replica of the cell state, and notifies other tasks of its changes. */
export class ReplicaTask implements ReplicatedStateMachine<
  CellCommand,
  CellResult
> {
  readonly replica = new Replica();
  /** Emits after each change. */
  readonly changes = new Subject<ReplicaChange>();
  private freshAt = Number.NEGATIVE_INFINITY;
  private isReadEnabled = false;

  constructor(private readonly clock: Clock) {}

  /** Log index of the replica. */
  get index(): number {
    return this.replica.index;
  }

  /** The whole state, as plain data. */
  toImage(): CellImage {
    return this.replica.state.toImage();
  }

  /** Whether the replica may be read and used for decisions. */
  get isReady(): boolean {
    return this.isReadEnabled;
  }

  /** Age of the last proof that the replica is current, in ms. */
  get staleMs(): number {
    return Math.max(0, this.clock.now() - this.freshAt);
  }

  /** Allows the replica to be read from now on. */
  open(): void {
    if (this.isReadEnabled) return;
    this.isReadEnabled = true;
    this.changes.next({index: this.replica.index, jobs: 'all'});
  }

  /** Records that the replica was current at a monotonic time, in ms. */
  noteFresh(at: number): void {
    this.freshAt = Math.max(this.freshAt, at);
  }

  /** Applies one entry, and returns the result of its command. */
  apply(entry: FollowEntry): CellResult | undefined {
    const result = this.replica.apply(entry);
    this.changes.next({index: this.replica.index, jobs: changedJobs(entry)});
    return result;
  }

  /** Replaces the state by a newer image. */
  restore(image: unknown): void {
    if (!this.replica.restore(image as CellImage)) return;
    this.changes.next({index: this.replica.index, jobs: 'all'});
  }

  /** Replies to a VM that follows; waits for a change up to the time it allows. */
  async follow({sinceIndex, waitMs}: FollowRequest): Promise<FollowReply> {
    if (!this.isReadEnabled) return {kind: 'not_ready'};
    if (this.replica.index <= sinceIndex) await this.waitForChange(waitMs);
    return this.replica.makeFollowReply(sinceIndex, this.staleMs);
  }

  private waitForChange(waitMs: number): Promise<void> {
    return firstValueFrom(race(this.changes, this.clock.after(waitMs))).then(
      () => undefined,
    );
  }
}

/** Jobs that an entry may have changed. */
const changedJobs = ({index, command}: FollowEntry): JobId[] => {
  if (!command) return [];
  const {body} = command;
  switch (body.kind) {
    case 'submit_job':
      return [asId<JobId>(`job-${index}`)];
    case 'cancel_job':
      return [body.job];
    case 'record_starts':
      return [...new Set(body.tasks.map(jobOfTask))];
    case 'finish_tasks':
      return [...new Set(body.ends.map(end => jobOfTask(end.task)))];
    case 'put_profile':
    case 'put_service':
    case 'set_service_state':
    case 'set_quota':
    case 'claim_key':
    case 'settle_key':
      return [];
    default:
      return assertNever(body);
  }
};
