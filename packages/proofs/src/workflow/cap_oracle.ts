/**
 * Counts what the workers run for each customer, without the scheduler's own
 * totals, and checks it against the cap.
 */
import {
  NO_RESOURCES,
  addResources,
  countUnderCap,
  taskKey,
  taskRefOf,
  type Customer,
  type Resources,
  type StepSpec,
  type TaskKey,
  type TaskRef,
  type WorkerId,
} from '@primrosewick/state';

/** What the check reads of a world. */
export interface CapOracleOptions {
  readonly customerOf: (task: TaskRef) => Customer | undefined;
  readonly stepOf: (task: TaskRef) => StepSpec | undefined;
}

/** Describes a cap that the runs on all workers exceed as a task starts. */
export const findCapViolation = (
  {customerOf, stepOf}: CapOracleOptions,
  started: TaskRef,
  running: ReadonlyMap<TaskKey, ReadonlyMap<WorkerId, unknown>>,
): string | undefined => {
  const customer = customerOf(started);
  if (!customer) return undefined;
  let used: Resources = NO_RESOURCES;
  for (const [key, places] of running) {
    const task = taskRefOf(key);
    const room = stepOf(task)?.room ?? NO_RESOURCES;
    if (customerOf(task)?.name !== customer.name) continue;
    places.forEach(() => (used = addResources(used, room)));
  }
  const {name, cap} = customer;
  const isWithin =
    countUnderCap({cpuMillis: 1, memMb: 1, gpus: 1}, used, {
      cpuMillis: cap.cpuMillis && cap.cpuMillis + 1,
      memMb: cap.memMb && cap.memMb + 1,
      gpus: cap.gpus && cap.gpus + 1,
    }) > 0;
  if (isWithin) return undefined;
  return `${taskKey(started)} brings ${name} to ${JSON.stringify(used)} of ${JSON.stringify(cap)}`;
};
