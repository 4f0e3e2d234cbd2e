/** Records the inputs and decisions of the planner in a journal for replay. */
import {
  assertNever,
  notesOf,
  outcomeOf,
  toImage,
  withoutPayload,
  withoutSource,
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
/** Longest minimum time between two images, in ms, however large they are. */
const MAX_IMAGE_INTERVAL_MS = 5000;
/** Bytes of an image for each ms until the next one. */
const IMAGE_BYTES_PER_MS = 1000;

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

  /** Records an applied log record, without the texts that do not affect placement. */
  noteRecord(index: number, command: WorkflowCommand): void {
    this.add({kind: 'record', index, command: withoutTexts(command)});
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
    this.startSegment(event.now);
  }

  /** Starts a segment with an image; a small image allows the next one sooner. */
  private startSegment(now: number): void {
    const image = toImage(this.image());
    const intervalMs = image.length / IMAGE_BYTES_PER_MS;
    this.imageNotBefore = now + Math.min(MAX_IMAGE_INTERVAL_MS, intervalMs);
    this.recorder.resume(CORE, image);
  }

  private add(event: PlannerEvent): void {
    this.recorder.record({core: CORE, event, outcome: null, notes: []});
  }
}

/** The payload of a submission and the text of a bundle are left out. */
const withoutTexts = (command: WorkflowCommand): WorkflowCommand => {
  switch (command.kind) {
    case 'submit':
      return {...command, spec: withoutPayload(command.spec)};
    case 'put_bundle':
      return {...command, bundle: withoutSource(command.bundle)};
    case 'cancel':
    case 'put_worker':
    case 'remove_worker':
    case 'start_runs':
    case 'end_runs':
    case 'void_runs':
      return command;
    default:
      return assertNever(command);
  }
};
