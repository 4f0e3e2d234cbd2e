/** The replicated state machine of workflows. */
import {Subject} from 'rxjs';
import {
  WorkflowDb,
  type WorkflowCommand,
  type WorkflowDbOptions,
  type WorkflowEnd,
  type WorkflowImage,
  type WorkflowResult,
} from '@primrosewick/state';
import {workMeter} from '@primrosewick/transport';
import type {ReplicatedStateMachine} from '../consensus/task_options.js';

/** Applies log entries to the workflow state and emits each applied record. */
export class WorkflowReplica implements ReplicatedStateMachine<
  WorkflowCommand,
  WorkflowResult
> {
  readonly db: WorkflowDb;
  /** Emits each record after it is applied. */
  readonly applied = new Subject<WorkflowCommand>();
  /** Emits the end of each workflow after its record is applied. */
  readonly ended = new Subject<WorkflowEnd>();
  /** Emits after the whole state was replaced by an image. */
  readonly restored = new Subject<void>();
  private isOpen = false;

  constructor(options: Partial<WorkflowDbOptions> = {}) {
    this.db = new WorkflowDb(options);
  }

  get index(): number {
    return this.db.index;
  }

  /** Whether the state may be read. */
  get isReady(): boolean {
    return this.isOpen;
  }

  apply({
    index,
    command,
  }: {
    readonly index: number;
    readonly command?: WorkflowCommand;
  }): WorkflowResult | undefined {
    if (index <= this.db.index) return undefined;
    if (!command) {
      this.db.skip(index);
      return undefined;
    }
    return workMeter.measure('record', () => {
      const result = this.db.apply(index, command);
      this.applied.next(command);
      for (const end of this.db.ended.byLastRecord) this.ended.next(end);
      return result;
    });
  }

  restore(image: unknown): void {
    const state = image as WorkflowImage;
    if (state.index <= this.db.index) return;
    this.db.restore(state);
    this.restored.next();
  }

  toImage(): WorkflowImage {
    return this.db.toImage();
  }

  open(): void {
    this.isOpen = true;
  }

  noteFresh(): void {
    // Nothing to do: readers get the replica's age from the log.
  }
}
