/** Collects the inputs of a planner pass other than the replicated state. */
import {
  taskKey,
  type PassEvent,
  type Plan,
  type WorkerId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {SchedulerOptions} from './scheduler_options.js';
import type {OrphanTracker} from './orphan_tracker.js';
import type {WorkerChannel} from './worker_channel.js';
import type {WorkerViews} from './worker_views.js';

/** Sources of the inputs of a pass. */
export interface PassSources {
  readonly clock: Clock;
  readonly callers: SchedulerOptions['callers'];
  readonly mayDeferUseless?: boolean;
  /** Whether zones take turns where a pool is full. */
  readonly mayShareZones?: boolean;
  readonly channels: ReadonlyMap<WorkerId, WorkerChannel>;
  readonly views: WorkerViews;
  readonly orphans: OrphanTracker;
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
    preemptedAt: [...preemptedAt],
    reserved: [...reserved].map(([step, workers]) => [step, [...workers]]),
  };
};
