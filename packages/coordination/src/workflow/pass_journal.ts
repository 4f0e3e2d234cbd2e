/** Records the inputs and decisions of the planner in a journal for replay. */
import {
  notesOf,
  outcomeOf,
  toImage,
  withoutPayload,
  type AdviceChange,
  type PassEvent,
  type Plan,
  type PlannerEvent,
  type StepKey,
  type WorkflowCommand,
} from '@primrosewick/state';
import type {Recorder} from '../zone/types.js';

const CORE = 'workflows';
/** Minimum time between two recorded passes without a decision, in ms. */
const IDLE_PASS_INTERVAL_MS = 500;
/** Minimum time between two images, in ms, however large they are. */
const IMAGE_INTERVAL_MS = 5000;

/** The planner's journal of one leadership. */
export class PassJournal {
  /** Monotonic time of the last recorded pass, in ms. */
  private lastPassAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time before which no new segment begins, in ms. */
  private imageNotBefore = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly recorder: Recorder,
    /** Returns an image of the planner's current state, for the start of a segment. */
    private readonly image: () => object,
  ) {
    recorder.resume(CORE, toImage(image()));
  }

  /** Records an applied log record, without the payload of a submission. */
  noteRecord(index: number, command: WorkflowCommand): void {
    const kept =
      command.kind === 'submit'
        ? {...command, spec: withoutPayload(command.spec)}
        : command;
    this.add({kind: 'record', index, command: kept});
  }

  /** Records a change of a step's advice. */
  noteAdvice(step: StepKey, change: AdviceChange): void {
    this.add({kind: 'advice', step, change});
  }

  /** Records a pass with its decisions; passes without any are sampled. */
  notePass(event: PassEvent, plan: Plan): void {
    const {starts, stops, advice} = plan;
    const isIdle = starts.length + stops.length + advice.length === 0;
    if (isIdle && event.now < this.lastPassAt + IDLE_PASS_INTERVAL_MS) return;
    this.lastPassAt = event.now;
    this.recorder.record({
      core: CORE,
      event,
      outcome: outcomeOf(plan),
      notes: notesOf(plan),
    });
    if (!this.recorder.isFull(CORE) || event.now < this.imageNotBefore) return;
    this.imageNotBefore = event.now + IMAGE_INTERVAL_MS;
    this.recorder.resume(CORE, toImage(this.image()));
  }

  private add(event: PlannerEvent): void {
    this.recorder.record({core: CORE, event, outcome: null, notes: []});
  }
}
