/** Counts the stops of a simulation, and whether they served their purpose. */
import {
  stepKey,
  taskKey,
  type PlannedStart,
  type PlannedStop,
} from '@primrosewick/state';

/**
 * Time within which a preemptor must start on the worker for the stop to count
 * as of use, in ms.
 */
const USE_MS = 2000;

/** Figures about the stops of one simulation. */
export interface StopFigures {
  readonly stops: number;
  readonly preemptions: number;
  /** Stops of gangs that lost a member. */
  readonly brokenGangs: number;
  /** Fraction of the preemptions after which the preemptor started there. */
  readonly usefulShare: number;
  /** Largest number of preemptions of one task, and of one workflow. */
  readonly mostOfTask: number;
  readonly mostOfWorkflow: number;
}

/** Counts stops by reason, task and workflow. */
export class StopCounter {
  private stops = 0;
  private preemptions = 0;
  private brokenGangs = 0;
  private useful = 0;
  private readonly byTask = new Map<string, number>();
  private readonly byWorkflow = new Map<string, number>();
  /** Times of preemptions without a start of the preemptor yet. */
  private readonly open = new Map<string, number[]>();

  /** Counts a stop. */
  noteStop({task, worker, why, inFavourOf}: PlannedStop, now: number): void {
    this.stops++;
    if (why === 'gang_broken') this.brokenGangs++;
    if (why !== 'preempted') return;
    this.preemptions++;
    increment(this.byTask, taskKey(task));
    increment(this.byWorkflow, task.workflow);
    const key = `${worker}/${inFavourOf}`;
    this.open.set(key, [...(this.open.get(key) ?? []), now]);
  }

  /** Notes a start, which may use room that was freed for it. */
  noteStart({task, worker}: PlannedStart, now: number): void {
    const key = `${worker}/${stepKey(task)}`;
    const times = this.open.get(key);
    if (!times) return;
    this.open.delete(key);
    this.useful += times.filter(at => now - at <= USE_MS).length;
  }

  /** The figures so far. */
  figures(): StopFigures {
    return {
      stops: this.stops,
      preemptions: this.preemptions,
      brokenGangs: this.brokenGangs,
      usefulShare: this.useful / Math.max(1, this.preemptions),
      mostOfTask: Math.max(0, ...this.byTask.values()),
      mostOfWorkflow: Math.max(0, ...this.byWorkflow.values()),
    };
  }
}

const increment = (counts: Map<string, number>, key: string): void =>
  void counts.set(key, (counts.get(key) ?? 0) + 1);
