/**
 * Logs once how the cell has recovered after a change of the leader that found
 * open work. Load pattern: a leader fails under load.
 */
import type Logger from 'bunyan';
import type {
  PlannedWait,
  WorkflowCommand,
  WorkflowDb,
  WorkflowId,
} from '@primrosewick/state';

/** Time after which the line is written although a stage is missing, in ms. */
const MAX_RECOVERY_MS = 30_000;

/** Stages of a recovery. */
type Stage =
  /** The first start is recorded. */
  | 'firstStart'
  /** The first new submission is recorded. */
  | 'firstAcceptance'
  /** The first pass in which nothing waits of the work that was found. */
  | 'backlogGone';

const STAGE_COUNT = 3;

/** Stages of the recovery at the beginning of one leadership. */
export class RecoveryLog {
  private readonly found: ReadonlySet<WorkflowId>;
  private readonly stages: Partial<Record<Stage, number>> = {};
  private isDone: boolean;

  /** @param beganAt - monotonic start of the leadership, in ms. */
  constructor(
    private readonly logger: Logger,
    {open}: Pick<WorkflowDb, 'open'>,
    private readonly beganAt: number,
  ) {
    this.found = new Set(open.keys());
    this.isDone = this.found.size === 0;
  }

  /** Notes an applied record, at a monotonic time in ms. */
  noteRecord({kind}: Pick<WorkflowCommand, 'kind'>, now: number): void {
    if (kind === 'start_runs') this.note('firstStart', now);
    else if (kind === 'submit') this.note('firstAcceptance', now);
  }

  /** Notes the waits of a pass, at a monotonic time in ms. */
  notePass(waits: readonly PlannedWait[], now: number): void {
    if (this.isDone) return;
    if (!waits.some(({step}) => this.found.has(step.workflow)))
      this.note('backlogGone', now);
    if (now >= this.beganAt + MAX_RECOVERY_MS) this.log();
  }

  private note(stage: Stage, now: number): void {
    if (this.isDone || this.stages[stage] !== undefined) return;
    this.stages[stage] = Math.round(now - this.beganAt);
    if (Object.keys(this.stages).length === STAGE_COUNT) this.log();
  }

  private log(): void {
    this.isDone = true;
    this.logger.info(
      {
        decision: 'recovered',
        found: this.found.size,
        afterMs: {...this.stages},
      },
      'stages of the recovery since this leadership began',
    );
  }
}
