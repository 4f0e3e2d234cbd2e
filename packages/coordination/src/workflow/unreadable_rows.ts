/**
 * Decides what may be concluded from lists of which some rows could not be
 * decoded. Load pattern: almost never; then one row in every list of one worker.
 * A row that is left out of the running ones may be that of a recorded run, so a
 * run that is not listed is stopped before it is voided. An end that cannot be
 * read holds back the later ones for a short while, as the next list may show it.
 */
import {
  taskKey,
  type RunEnd,
  type TaskKey,
  type TaskRef,
} from '@primrosewick/state';
import type {UnreadableRow} from './ports.js';
import type {RunRef} from './run_lists.js';

/** How long a row is expected to become readable, in ms. */
export const UNREADABLE_PATIENCE_MS = 1000;
/** Time after which a run whose stop was accepted has ended, in ms. */
export const STOP_SETTLED_MS = 2000;

const NO_ROWS: readonly UnreadableRow[] = [];

/** A recorded run that is not listed, while an unreadable row may be that run. */
interface HiddenRun {
  readonly run: number;
  readonly since: number;
  /** Monotonic time at which the worker accepted its stop, in ms. */
  stoppedAt?: number;
}

/** What to do about recorded runs that are not listed. */
export interface MissingRuns {
  /** Runs that certainly are not active. */
  readonly absent: readonly RunRef[];
  /** Runs that may be active and must be stopped to be certain. */
  readonly toStop: readonly RunRef[];
}

/** Ends to record now. */
export interface ReadableEnds {
  readonly ends: readonly RunEnd[];
  /** Whether later ends wait for one that cannot be read. */
  readonly isHeldBack: boolean;
}

/** Tracks the unreadable rows of one worker's lists. */
export class UnreadableRows {
  private hidden = new Map<TaskKey, HiddenRun>();
  /** Monotonic time at which each unreadable end was first listed, in ms. */
  private endsSince = new Map<number, number>();
  private unnumberedSince: number | undefined;

  /** Selects the ends after `recorded`; the rest waits for unreadable rows before it. */
  selectEnds(
    ended: readonly RunEnd[],
    rows: readonly UnreadableRow[] = NO_ROWS,
    recorded: number,
    now: number,
  ): ReadableEnds {
    const ends = ended
      .filter(({sequence}) => sequence > recorded)
      .sort((a, b) => a.sequence - b.sequence);
    const heldFrom = this.noteEnds(rows, recorded, now);
    if (heldFrom === undefined) return {ends, isHeldBack: false};
    return {
      ends: ends.filter(({sequence}) => sequence < heldFrom),
      isHeldBack: true,
    };
  }

  /** Decides about recorded runs that a list requested at `askedAt` lacks. */
  sortMissing(
    missing: readonly RunRef[],
    rows: readonly UnreadableRow[] = NO_ROWS,
    askedAt: number,
  ): MissingRuns {
    const before = this.hidden;
    this.hidden = new Map();
    const absent: RunRef[] = [];
    const toStop: RunRef[] = [];
    for (const ref of missing) {
      if (!mayHide(rows, ref.task)) {
        absent.push(ref);
        continue;
      }
      const known = before.get(taskKey(ref.task));
      const entry =
        known?.run === ref.run ? known : {run: ref.run, since: askedAt};
      if (hasSettled(entry, askedAt)) {
        absent.push(ref);
        continue;
      }
      this.hidden.set(taskKey(ref.task), entry);
      const isDue = askedAt >= entry.since + UNREADABLE_PATIENCE_MS;
      if (isDue && entry.stoppedAt === undefined) toStop.push(ref);
    }
    return {absent, toStop};
  }

  /** Notes that the worker accepted the stop of a run. */
  noteStopped({task, run}: RunRef, now: number): void {
    const entry = this.hidden.get(taskKey(task));
    if (entry?.run === run) entry.stoppedAt ??= now;
  }

  /** @returns the first sequence number that must wait, if any must. */
  private noteEnds(
    rows: readonly UnreadableRow[],
    recorded: number,
    now: number,
  ): number | undefined {
    const before = this.endsSince;
    this.endsSince = new Map();
    let heldFrom: number | undefined;
    let isUnnumbered = false;
    for (const row of rows) {
      if (row.list !== 'ended') continue;
      if (row.sequence === undefined) {
        isUnnumbered = true;
        continue;
      }
      if (row.sequence <= recorded) continue;
      const since = before.get(row.sequence) ?? now;
      this.endsSince.set(row.sequence, since);
      if (now < since + UNREADABLE_PATIENCE_MS)
        heldFrom = Math.min(heldFrom ?? row.sequence, row.sequence);
    }
    this.unnumberedSince = isUnnumbered
      ? (this.unnumberedSince ?? now)
      : undefined;
    const {unnumberedSince} = this;
    const isHeld =
      unnumberedSince !== undefined &&
      now < unnumberedSince + UNREADABLE_PATIENCE_MS;
    return isHeld ? 0 : heldFrom;
  }
}

/** Whether an unreadable row may be that of a run of the task. */
const mayHide = (rows: readonly UnreadableRow[], task: TaskRef): boolean =>
  rows.some(
    row =>
      row.list === 'running' &&
      (row.task === undefined || taskKey(row.task) === taskKey(task)),
  );

const hasSettled = ({stoppedAt}: HiddenRun, askedAt: number): boolean =>
  stoppedAt !== undefined && askedAt >= stoppedAt + STOP_SETTLED_MS;
