/** Baseline scheduling policies that the planner is compared with. */
import {
  findReadySteps,
  fitsInto,
  plan,
  subtractResources,
  taskKey,
  type AdviceRequest,
  type Plan,
  type PlanInput,
  type PlannedStart,
  type ReadyStep,
  type WorkerView,
} from '@primrosewick/state';
import type {Policy} from './types.js';

type ChooseWorker = (workers: readonly WorkerView[]) => WorkerView | undefined;

const firstFit: ChooseWorker = workers => workers[0];

const leastLoaded: ChooseWorker = workers =>
  workers.reduce<WorkerView | undefined>(
    (best, worker) =>
      !best || worker.free.cpuMillis > best.free.cpuMillis ? worker : best,
    undefined,
  );

/**
 * Starts steps in the order of acceptance; a step that does not fit is skipped.
 */
const makeInOrderPolicy =
  (choose: ChooseWorker): Policy =>
  (input): Plan => {
    const starts: PlannedStart[] = [];
    const advice: AdviceRequest[] = [];
    const ready = findReadySteps(input.db, input.wall);
    ready.sort((a, b) => acceptedAt(input, a) - acceptedAt(input, b));
    for (const step of ready) placeStep(input, step, choose, starts, advice);
    return {
      starts,
      stops: [],
      advice,
      waits: [],
      reserved: new Map(),
      preemptedAt: new Map(),
    };
  };

const acceptedAt = ({db}: PlanInput, {ref}: ReadyStep): number =>
  db.open.get(ref.workflow)?.acceptedAt ?? 0;

const placeStep = (
  {db, now, workers, pending, adviceOf}: PlanInput,
  {ref, key}: ReadyStep,
  choose: ChooseWorker,
  starts: PlannedStart[],
  advice: AdviceRequest[],
): void => {
  const workflow = db.open.get(ref.workflow)!;
  const spec = workflow.spec.steps[ref.step]!;
  const known = adviceOf(key);
  const {tasks} = db.stepsOf(workflow, ref.occurrence)[ref.step]!;
  const waitingTasks = tasks.flatMap((task, index) =>
    task.isDone ||
    task.active.length > 0 ||
    pending.has(taskKey({...ref, index}))
      ? []
      : [index],
  );
  if (
    waitingTasks.length === 0 ||
    (spec.isGang && waitingTasks.length < tasks.length)
  )
    return;
  const hasValidTicket = ({worker}: WorkerView): boolean =>
    (known?.tickets.get(worker)?.validUntil ?? 0) > now + 250;
  const usable = [...workers.values()].filter(hasValidTicket);
  if (usable.length === 0 && !known?.isAsking)
    advice.push({step: ref, workers: [...workers.keys()]});
  const placed: Array<{index: number; worker: WorkerView}> = [];
  for (const index of waitingTasks) {
    const worker = choose(usable.filter(({free}) => fitsInto(spec.room, free)));
    if (!worker) break;
    worker.free = subtractResources(worker.free, spec.room);
    placed.push({index, worker});
  }
  if (spec.isGang && placed.length < waitingTasks.length) {
    for (const {worker} of placed)
      worker.free = {
        ...worker.free,
        cpuMillis: worker.free.cpuMillis + spec.room.cpuMillis,
        memMb: worker.free.memMb + spec.room.memMb,
      };
    return;
  }
  const run = 1 + Math.max(0, ...tasks.map(({lastRun}) => lastRun));
  for (const {index, worker} of placed)
    starts.push({
      task: {...ref, index},
      run: spec.isGang ? run : tasks[index]!.lastRun + 1,
      worker: worker.worker,
      bornAt: worker.bornAt,
      checkpoint: '',
      ticket: 't',
    });
};

/** The compared policies by name. */
export const POLICIES: ReadonlyMap<string, Policy> = new Map([
  ['planner', plan],
  ['in order, first fit', makeInOrderPolicy(firstFit)],
  ['in order, least loaded', makeInOrderPolicy(leastLoaded)],
]);
