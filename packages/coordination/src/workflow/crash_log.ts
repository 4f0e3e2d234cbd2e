/** Logs crashes of workers, and the workflows that are given up for them. */
import type Logger from 'bunyan';
import type {
  CrashRecord,
  WorkerIncarnation,
  WorkflowCommand,
  WorkflowDb,
} from '@primrosewick/state';

/** Record of a worker that is gone. */
export type RemoveWorker = Extract<WorkflowCommand, {kind: 'remove_worker'}>;

/** Maximum number of suspects that a line names. */
const MAX_SUSPECTS_LOGGED = 8;

/** Logs one line a crash, and one for each workflow that ends with it. */
export class CrashLog {
  constructor(
    private readonly logger: Logger,
    private readonly db: WorkflowDb,
  ) {}

  /** Notes an applied record of a worker that is gone. */
  note({life, runs, crash}: RemoveWorker): void {
    if (!crash) return;
    const suspects = this.db.crashes
      .values()
      .filter(record => isLatest(record, life))
      .map(({unit}) => unit);
    this.logger.info(
      {
        change: 'worker_crashed',
        ...life,
        suspectCount: suspects.length,
        suspects: suspects.slice(0, MAX_SUSPECTS_LOGGED),
        togetherCount: crash.togetherCount,
        ...(crash.isDark && {isDark: true}),
      },
      'worker has crashed; what it had just started is suspected',
    );
    for (const id of new Set(runs.map(({task}) => task.workflow))) {
      const workflow = this.db.workflows.get(id);
      if (workflow?.crashes && isLatest(workflow.crashes, life))
        this.logGivenUp(workflow.crashes);
    }
  }

  private logGivenUp({workflow, unit, crashes}: CrashRecord): void {
    this.logger.info(
      {
        decision: 'workflow_given_up',
        req: workflow,
        outcome: 'failed',
        task: unit,
        deaths: crashes.length,
        crashes,
        index: this.db.index,
      },
      'workflow failed: workers crash when they start this task',
    );
  }
}

/** Whether an incarnation is the one that crashed last under a unit. */
const isLatest = ({crashes}: CrashRecord, life: WorkerIncarnation): boolean => {
  const last = crashes.at(-1);
  return last?.worker === life.worker && last.bornAt === life.bornAt;
};
