/** Whether workers have room for a step that waits, twice over. */
import type {Resources, StepSpec} from '@primrosewick/state';
import type {SimWorker} from './sim_worker.js';

/** How often there has to be room for what waits. */
const TIMES = 2;
/** Share of the room in use from which on work may wait. */
const BUSY_SHARE = 0.5;

/** Workers that may take new tasks. */
const openWorkers = (workers: readonly SimWorker[]): SimWorker[] =>
  workers.filter(({isUp, isDraining}) => isUp && !isDraining);

/** Whether under half of the room of all workers that are up is in use. */
export const isHalfFree = (workers: readonly SimWorker[]): boolean => {
  const up = workers.filter(({isUp}) => isUp);
  const share = (pick: (room: Resources) => number): number => {
    const whole = sumOf(up, ({room}) => pick(room));
    const free = sumOf(up, worker => pick(worker.freeRoom));
    return whole === 0 ? 1 : 1 - free / whole;
  };
  return (
    share(room => room.cpuMillis) < BUSY_SHARE &&
    share(room => room.memMb) < BUSY_SHARE
  );
};

/** Whether a task of a step, or the whole gang, fits twice beside what runs. */
export const fitsTwice = (
  step: StepSpec,
  workers: readonly SimWorker[],
): boolean => {
  const needed = TIMES * (step.isGang ? step.taskCount : 1);
  const maxPerWorker = step.maxPerWorker || Number.POSITIVE_INFINITY;
  const places = sumOf(openWorkers(workers), ({freeRoom}) =>
    Math.min(maxPerWorker, timesInto(step.room, freeRoom)),
  );
  return places >= needed;
};

/** How often a task fits into free room. */
const timesInto = (size: Resources, free: Resources): number => {
  const times = Math.min(
    free.cpuMillis / Math.max(1, size.cpuMillis),
    free.memMb / Math.max(1, size.memMb),
  );
  return Math.max(0, Math.floor(times));
};

const sumOf = (
  workers: readonly SimWorker[],
  amount: (worker: SimWorker) => number,
): number => workers.reduce((sum, worker) => sum + amount(worker), 0);
