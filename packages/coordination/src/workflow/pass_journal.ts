/** Journals what the planner is told and decides, so that it can be replayed. */
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
/** Shortest time between two passes without a decision that are kept, in ms. */
const IDLE_PAUSE_MS = 500;
/** Shortest time between two images, in ms, however large they are. */
const IMAGE_PAUSE_MS = 5000;

/** Journal of one leadership. */
export class PassJournal {
  /** Monotonic time of the last pass that was kept, in ms. */
  private notedAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time before which no segment begins, in ms. */
  private imageNotBefore = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly recorder: Recorder,
    /** Image of the planner's state at present, for the begin of a segment. */
    private readonly image: () => object,
  ) {
    recorder.resume(CORE, toImage(image()));
  }

  /** Notes a record of the log that was applied. */
  noteRecord(index: number, command: WorkflowCommand): void {
    const kept =
      command.kind === 'submit'
        ? {...command, spec: withoutPayload(command.spec)}
        : command;
    this.add({kind: 'record', index, command: kept});
  }

  /** Notes what has changed of a step's advice. */
  noteAdvice(step: StepKey, change: AdviceChange): void {
    this.add({kind: 'advice', step, change});
  }

  /** Notes a pass and its decisions; of those without any, one now and then. */
  notePass(event: PassEvent, plan: Plan): void {
    const {starts, stops, advice} = plan;
    const isIdle = starts.length + stops.length + advice.length === 0;
    if (isIdle && event.now < this.notedAt + IDLE_PAUSE_MS) return;
    this.notedAt = event.now;
    this.recorder.record({
      core: CORE,
      event,
      outcome: outcomeOf(plan),
      notes: notesOf(plan),
    });
    if (!this.recorder.isFull(CORE) || event.now < this.imageNotBefore) return;
    this.imageNotBefore = event.now + IMAGE_PAUSE_MS;
    this.recorder.resume(CORE, toImage(this.image()));
  }

  private add(event: PlannerEvent): void {
    this.recorder.record({core: CORE, event, outcome: null, notes: []});
  }
}
