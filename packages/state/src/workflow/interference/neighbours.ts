/** Tells which kinds of tasks ran beside a run, from the replicated state. */
import type {WorkflowDb} from '../db.js';
import type {TaskRef, WorkerState} from '../types.js';
import type {BusyTime, Neighbour, TaskKind} from './types.js';

/** Longest name of a kind that is learned, which bounds the state image. */
const MAX_KIND_LENGTH = 96;
/** Kinds that are remembered for a worker and for a run. */
const MAX_KINDS = 4;
/** Runs of one kind that follow each other within this time count as one, in ms. */
const MAX_GAP_MS = 300;
/** Fraction of a run's time from which a kind was beside it. */
export const MIN_BESIDE = 0.5;
/** Fraction below which a kind counts as absent. */
const MAX_ABSENT = 0.2;

/** Kind of a task; undefined for one that is not known or not learned. */
export const taskKindOf = (
  {workflows}: Pick<WorkflowDb, 'workflows'>,
  {workflow, step}: TaskRef,
): TaskKind | undefined => {
  const state = workflows.get(workflow);
  const image = state?.spec.steps[step]?.image;
  const kind = image === undefined ? `${state?.queue}\n#${step}` : `@${image}`;
  return state && kind.length <= MAX_KIND_LENGTH
    ? (kind as TaskKind)
    : undefined;
};

/**
 * Adds the time of an ended run to those of its worker; each kind keeps only its
 * latest time without a gap.
 */
export const addBusyTime = (
  known: readonly BusyTime[],
  [kind, from, until]: BusyTime,
): readonly BusyTime[] => {
  const own = known.find(([other]) => other === kind);
  const isSame = own !== undefined && from <= own[2] + MAX_GAP_MS;
  const merged: BusyTime = [
    kind,
    isSame ? Math.min(own[1], from) : from,
    Math.max(own?.[2] ?? until, until),
  ];
  const others = known.filter(([other]) => other !== kind);
  return [...others.slice(1 - MAX_KINDS), merged];
};

/** The kinds beside a run that ends at a wall time, in ms since 1970. */
export const neighboursOf = (
  db: Pick<WorkflowDb, 'workflows'>,
  {active}: WorkerState,
  busy: readonly BusyTime[],
  run: {readonly key: string; readonly from: number; readonly until: number},
): readonly Neighbour[] => {
  const {from, until} = run;
  const times = new Map<TaskKind, {from: number; until: number}>();
  const add = (kind: TaskKind, start: number, end: number): void => {
    if (end <= from) return;
    const known = times.get(kind);
    times.set(kind, {
      from: Math.min(known?.from ?? until, Math.max(from, start)),
      until: Math.max(known?.until ?? from, end),
    });
  };
  for (const [kind, start, end] of busy) add(kind, start, end);
  for (const [key, {task, startedAt}] of active) {
    const kind = key === run.key ? undefined : taskKindOf(db, task);
    if (kind !== undefined) add(kind, startedAt ?? from, until);
  }
  return [...times]
    .map(([kind, time]): Neighbour => {
      const fraction = (time.until - time.from) / Math.max(1, until - from);
      return [kind, Math.round(100 * fraction) / 100];
    })
    .filter(([, fraction]) => fraction >= MAX_ABSENT)
    .sort((a, b) => b[1] - a[1])
    .slice(0, MAX_KINDS);
};
