/** Collects the inputs of a planner pass other than the replicated state. */
import {
  planInputOf,
  taskKey,
  type PassEvent,
  type Plan,
  type PlanInput,
  type RemainingTimes,
  type WorkerId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {SchedulerOptions} from './scheduler_options.js';
import type {OrphanTracker} from './orphan_tracker.js';
import {runTimesOf} from './run_times.js';
import type {WorkerChannel} from './worker_channel.js';
import type {WorkerViews} from './worker_views.js';

/** Sources of the inputs of a pass. */
export interface PassSources {
  readonly clock: Clock;
  readonly callers: SchedulerOptions['callers'];
  readonly mayDeferUseless?: boolean;
  /** Whether zones take turns where a pool is full. */
  readonly mayShareZones?: boolean;
  /** Whether later attempts avoid workers where the task failed. */
  readonly mayAvoidFailed?: boolean;
  readonly channels: ReadonlyMap<WorkerId, WorkerChannel>;
  readonly views: Pick<WorkerViews, 'unusable'>;
  readonly orphans: Pick<OrphanTracker, 'heldBack'>;
  /** Workers on which the last pass reserved room. */
  readonly reserved: Plan['reserved'];
  /** When the passes before preempted runs for gangs that wait. */
  readonly preemptedAt: Plan['preemptedAt'];
}

/** Collects the inputs of a pass that begins now. */
export const collectPassInput = (sources: PassSources): PassEvent => {
  const {clock, callers, views, orphans, reserved, preemptedAt} = sources;
  const channels = [...sources.channels];
  return {
    kind: 'pass',
    now: clock.now(),
    wall: clock.wall(),
    unusable: views.unusable(),
    expected: channels.flatMap(([worker, {expectedStarts}]) =>
      expectedStarts.map(
        ({task, run}) => [worker, taskKey(task), run] as const,
      ),
    ),
    heldBack: orphans.heldBack(clock.now()),
    stopping: channels.flatMap(([, {stopping}]) => stopping),
    remaining: [],
    endingSoon: [],
    callerCount: callers().length,
    ...(sources.mayDeferUseless && {mayDeferUseless: true}),
    ...(sources.mayShareZones && {mayShareZones: true}),
    ...(sources.mayAvoidFailed && {mayAvoidFailed: true}),
    preemptedAt: [...preemptedAt],
    reserved: [...reserved].map(([step, workers]) => [step, [...workers]]),
  };
};

/** Sources of the inputs of all passes of a leadership. */
export type PassInputsOptions = Omit<PassSources, 'reserved' | 'preemptedAt'> &
  Pick<PlanInput, 'db' | 'adviceOf'>;

/** Inputs of a pass, with the event for its journal. */
export interface PassInput {
  readonly pass: PassEvent;
  readonly times: RemainingTimes;
  readonly input: PlanInput;
}

/** Collects the inputs of one pass after the other. */
export class PassInputs {
  /** The last pass; undefined before the first. */
  private last: PassEvent | undefined;
  private lastUnusable: ReadonlySet<WorkerId> = new Set();
  private reserved: Plan['reserved'] = new Map();
  private preemptedAt: Plan['preemptedAt'] = new Map();

  constructor(private readonly options: PassInputsOptions) {}

  /** Workers that got no new tasks in the last pass. */
  get unusable(): ReadonlySet<WorkerId> {
    return this.lastUnusable;
  }

  /** Inputs of a pass that begins now. */
  next(): PassInput {
    const found = this.collect(this.options);
    this.last = found.pass;
    this.lastUnusable = new Set(found.pass.unusable);
    return found;
  }

  /** Notes what a pass decided that the next one needs. */
  notePlan({reserved, preemptedAt}: Plan): void {
    this.reserved = reserved;
    this.preemptedAt = preemptedAt;
  }

  /**
   * Inputs of a pass that would begin now, with what the last one found of workers
   * and orphaned runs, so that nothing changes; undefined before the first pass.
   */
  trial(): PlanInput | undefined {
    const {last} = this;
    if (!last) return undefined;
    const views = {unusable: () => [...last.unusable]};
    const orphans = {heldBack: () => [...last.heldBack]};
    return this.collect({...this.options, views, orphans}).input;
  }

  private collect(sources: PassInputsOptions): PassInput {
    const {reserved, preemptedAt} = this;
    const {db, adviceOf} = sources;
    const times = runTimesOf(sources);
    const pass = collectPassInput({...sources, reserved, preemptedAt});
    const input = planInputOf(pass, {
      db,
      adviceOf,
      remainingMs: (worker, key) => times.get(worker, key),
      endsSoon: worker => times.endsSoon(worker),
    });
    return {pass, times, input};
  }
}
