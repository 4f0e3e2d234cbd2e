/**
 * Finds the tasks that crash their workers. Load pattern: a few tasks crash
 * each worker shortly after it starts them, beside dozens of innocent runs, some
 * of which were started in the same second; each such worker is back after some
 * seconds, as a new incarnation. Racks that go dark end many runs as well.
 *
 * Only what a worker had just started is suspected of its crash. A suspect is
 * started again where nothing else is started meanwhile, so that its next crash
 * blames it alone; where many wait, beside a few others of its crash. Workers that are cut off crash unseen, so most suspects are innocent: a
 * unit is given up for crashes that it had to itself, never for shared ones.
 */
import {stepKey, taskKey} from '../refs.js';
import type {TaskRef, WorkflowId} from '../types.js';
import type {
  CrashedRun,
  CrashedWorker,
  CrashRecord,
  CrashUnit,
  UnitCrash,
} from './types.js';

/** A task that crashes its worker does so within this time of its start, in ms. */
export const CRASH_WINDOW_MS = 1000;
/** Time from a suspect's start until its worker is certainly heard again, in ms. */
export const SUSPECT_WINDOW_MS = 3 * CRASH_WINDOW_MS;
/** A run that has lasted this long does not crash its worker, in ms. */
export const SOUND_RUN_MS = 3 * CRASH_WINDOW_MS;
/** Crashes after which a unit is given up, if one of them was its alone. */
const MAX_CRASHES = 2;
/**
 * Crashes after which it is given up without such a one, and how many of them
 * blame no other unit: each may have come after the run had ended.
 */
const MAX_UNSURE_CRASHES = 3;
const MIN_ALONE = 2;
/**
 * One in so many of the suspects of a crash may be started together; more after a
 * crash out of sight, as behind a cut, which seldom comes from a task.
 */
const GROUP_SHARE = 4;
const DARK_GROUP_SHARE = 2;
/** Maximum number of suspects that may be started together. */
const MAX_GROUP = 8;
/** Crashes of a unit that are kept. */
const MAX_CRASHES_KEPT = 6;
/** With this many others that fall silent, a crash says little about a task. */
const MIN_TOGETHER = 2;

/** What the unit of a gang ends with, after the key of its step. */
const GANG_SUFFIX = '.*';

/** The unit of a task; the members of a gang are one. */
export const crashUnitOf = (task: TaskRef, isGang: boolean): CrashUnit =>
  (isGang ? stepKey(task) + GANG_SUFFIX : taskKey(task)) as CrashUnit;

type CrashKind = Omit<UnitCrash, 'worker' | 'bornAt' | 'at'>;

/** Crashes by unit; a unit with a crash is a suspect. */
export class CrashLedger {
  private readonly records = new Map<CrashUnit, CrashRecord>();

  /** Number of suspects. */
  get size(): number {
    return this.records.size;
  }

  isSuspect(unit: CrashUnit): boolean {
    return this.records.has(unit);
  }

  /** The latest crash under a unit. */
  latestCrash(unit: CrashUnit): UnitCrash | undefined {
    return this.records.get(unit)?.crashes.at(-1);
  }

  /**
   * How many suspects, itself included, may be started where the unit is. One
   * that has crashed two workers is alone, so that a third one tells.
   */
  groupLimit(unit: CrashUnit): number {
    const crashes = this.records.get(unit)?.crashes ?? [];
    const {groupSize = 1, isDark} = crashes.at(-1) ?? {};
    const isGang = unit.endsWith(GANG_SUFFIX);
    const share = isDark ? DARK_GROUP_SHARE : GROUP_SHARE;
    if (isGang || crashes.filter(isTelling).length >= MAX_CRASHES) return 1;
    return Math.max(1, Math.min(MAX_GROUP, Math.floor(groupSize / share)));
  }

  /**
   * Notes a crash under all units that the worker had just started.
   * @returns the units that are at fault.
   */
  note(crashed: CrashedWorker): CrashRecord[] {
    const runs = suspectRuns(crashed);
    const units = new Map(runs.map(run => [run.unit, run]));
    const groupSize = units.size;
    const {togetherCount, heardAt = 0, isDark} = crashed.evidence;
    const isTogether = togetherCount >= MIN_TOGETHER;
    const atFault: CrashRecord[] = [];
    for (const run of units.values()) {
      // A worker that answered nothing after the start may never have had it, and
      // one that was silent for a while may have ended it before it crashed.
      const wasSeen = heardAt >= (run.startedAt ?? 0) && !isDark;
      const isSole = groupSize === 1 && wasSeen;
      const kind = {isSole, groupSize, isTogether, ...(isDark && {isDark})};
      const record = this.add(run, crashed, kind);
      if (record && !isTogether && isAtFault(record)) atFault.push(record);
    }
    return atFault;
  }

  /** Clears a unit after a run that crashed nothing. */
  clear(unit: CrashUnit): void {
    this.records.delete(unit);
  }

  /** Drops the units of a workflow that has ended. */
  forget(workflow: WorkflowId): void {
    for (const record of this.records.values())
      if (record.workflow === workflow) this.records.delete(record.unit);
  }

  /** All records, the oldest suspect first. */
  values(): CrashRecord[] {
    return [...this.records.values()];
  }

  /** Replaces all by those of an image; older images have none. */
  restore(image: readonly CrashRecord[] = []): void {
    this.records.clear();
    for (const record of image) this.records.set(record.unit, record);
  }

  /** @returns undefined for a run that is counted already. */
  private add(
    {unit, task, run}: CrashedRun,
    {life, evidence}: CrashedWorker,
    kind: CrashKind,
  ): CrashRecord | undefined {
    const known = this.records.get(unit);
    if (known && run <= known.lastRun) return undefined;
    const {worker, bornAt} = life;
    const crash = {worker, bornAt, at: evidence.at, ...kind};
    const crashes = [...(known?.crashes ?? []), crash];
    const record = {
      unit,
      workflow: task.workflow,
      crashes: crashes.slice(-MAX_CRASHES_KEPT),
      lastRun: run,
    };
    this.records.set(unit, record);
    return record;
  }
}

const isTelling = ({isTogether}: UnitCrash): boolean => !isTogether;

/** Whether a crash blames one unit alone, in records of all ages. */
const isAlone = ({isSole, groupSize}: UnitCrash): boolean =>
  isSole || groupSize === 1;

const isAtFault = ({crashes}: CrashRecord): boolean => {
  const telling = crashes.filter(isTelling);
  if (telling.length < MAX_CRASHES) return false;
  if (telling.some(({isSole}) => isSole)) return true;
  const aloneCount = telling.filter(isAlone).length;
  return telling.length >= MAX_UNSURE_CRASHES && aloneCount >= MIN_ALONE;
};

/**
 * Runs that the worker had started shortly before its last sign of life: its
 * last answer, else its latest start, which it may not have received.
 */
const suspectRuns = ({runs, evidence}: CrashedWorker): CrashedRun[] => {
  const {heardAt} = evidence;
  const inFlight = new Set(evidence.inFlight);
  const started = runs.filter(({task}) => !inFlight.has(taskKey(task)));
  const times = started.flatMap(({startedAt}) => startedAt ?? []);
  const since =
    heardAt === undefined
      ? Math.max(...times) - SUSPECT_WINDOW_MS
      : heardAt - CRASH_WINDOW_MS;
  return started.filter(
    ({startedAt}) => startedAt !== undefined && startedAt >= since,
  );
};
