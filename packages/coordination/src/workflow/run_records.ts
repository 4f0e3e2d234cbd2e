/**
 * Brings the recorded runs of one incarnation of a worker in line with its lists:
 * records the ends, and voids runs that it never began.
 */
import {taskKey, type TaskRef, type VoidedRun} from '@primrosewick/state';
import {pause} from '@primrosewick/transport';
import type {ChannelLog} from './channel_log.js';
import {proofOf} from './end_proof/core.js';
import type {EndEvidence} from './end_proof/types.js';
import type {LifeLog} from './life_log.js';
import type {HoldAnswer} from './ports.js';
import type {ProgressTracker} from './progress_tracker.js';
import {compareLists, type RunRef} from './run_lists.js';
import type {StartLedger} from './start_ledger.js';
import type {StopLedger, StopRequest} from './stop_ledger.js';
import {UnreadableRows} from './unreadable_rows.js';
import type {WorkerChannelOptions} from './worker_channel_options.js';

/** Pause before ends are asked for again of which none could be recorded, in ms. */
const ENDS_RETRY_MS = 100;

/** Lists of a worker's runs. */
export type RunLists = Extract<HoldAnswer, {kind: 'lists'}>;

/** Options of {@link RunRecords}. */
export interface RunRecordsOptions extends Pick<
  WorkerChannelOptions,
  'db' | 'life' | 'clock' | 'record'
> {
  readonly starts: StartLedger;
  readonly stops: StopLedger;
  readonly progress: ProgressTracker;
  readonly log: ChannelLog;
  readonly lifeLog: LifeLog;
}

/** Records the ends of a worker's runs, and voids runs. */
export class RunRecords {
  private readonly unreadable = new UnreadableRows();

  constructor(private readonly options: RunRecordsOptions) {}

  /** Sequence number of the worker's latest end that is recorded. */
  get endsRecorded(): number {
    const {db, life} = this.options;
    return db.findIncarnation(life)?.endsRecorded ?? 0;
  }

  /** All recorded runs of the worker, with the latest listed checkpoints. */
  get active(): VoidedRun[] {
    const {db, life} = this.options;
    const active = db.findIncarnation(life)?.active.values() ?? [];
    return [...active].map(({task, run}) => this.withCheckpoint(task, run));
  }

  /** Notes the runs of a replaced worker; @returns those that the next one may have. */
  noteReplaced(runs: readonly VoidedRun[]): readonly VoidedRun[] {
    const {starts, progress} = this.options;
    // Those that it never listed.
    return starts.noteUndelivered(runs.filter(run => !progress.lists(run)));
  }

  /** Notes that the worker accepted the stop of a run, at a monotonic time in ms. */
  noteStopped(run: RunRef, now: number): void {
    this.unreadable.noteStopped(run, now);
  }

  /** @returns whether all listed ends are recorded in the log. */
  async recordEnds({ended, unreadable}: RunLists): Promise<boolean> {
    const {life, record, clock, starts, stops, log} = this.options;
    const {ends, isHeldBack} = this.unreadable.selectEnds(
      ended,
      unreadable,
      this.endsRecorded,
      clock.now(),
    );
    if (ends.length === 0) return !isHeldBack;
    for (const end of ends) {
      starts.forgetRun(end.task, end.run);
      log.ended(end);
    }
    const at = clock.wall();
    const isRecorded = await record({
      kind: 'end_runs',
      life,
      ends,
      at,
      countsVoided: true,
    });
    if (!isRecorded) return false;
    for (const {task} of ends) stops.forget(task);
    return !isHeldBack;
  }

  /**
   * Leaves all else to the list that follows one with more ends to come: a run
   * that is missing from this one may have ended. Waits if none was recorded.
   */
  async waitForEnds({ended}: RunLists, recordedBefore: number): Promise<void> {
    const {log, clock} = this.options;
    log.endsLacking(ended.length, this.endsRecorded);
    if (this.endsRecorded === recordedBefore) await pause(clock, ENDS_RETRY_MS);
  }

  /**
   * Voids recorded runs that the worker lacks in lists with all its ends.
   * @param sentAt - monotonic time at which the lists were requested, in ms.
   * @returns runs to stop: those that the log lacks, and those that only a row
   *   that cannot be read may list.
   */
  async reconcile(
    {running, unreadable}: RunLists,
    sentAt: number,
  ): Promise<StopRequest[]> {
    const {db, life, starts} = this.options;
    const state = db.findIncarnation(life);
    if (!state) return [];
    const {missing, unrecorded} = compareLists(
      state.active,
      running,
      starts,
      sentAt,
    );
    const {absent, toStop} = this.unreadable.sortMissing(
      missing,
      unreadable,
      sentAt,
    );
    await this.giveUp(absent, {kind: 'not_listed'});
    return [
      ...toStop.map(({task, run}) => ({
        task,
        run,
        why: 'not_listed' as const,
      })),
      ...unrecorded.map(({task, run}) => ({
        task,
        run,
        why: 'not_recorded' as const,
      })),
    ];
  }

  /** Voids runs without an end of their own, if evidence proves that they are over. */
  async giveUp(runs: readonly RunRef[], evidence: EndEvidence): Promise<void> {
    const proof = proofOf(evidence);
    if (runs.length === 0 || !proof || proof.kind === 'replaced') return;
    const {life, record, starts, lifeLog} = this.options;
    const reason = proof.kind;
    for (const {task, run} of runs) starts.forgetRun(task, run);
    const isConfirmed = await record({
      kind: 'void_runs',
      life,
      runs: runs.map(({task, run}) => this.withCheckpoint(task, run)),
      reason,
    });
    lifeLog.givenUp({life, runs, reason, isConfirmed});
  }

  private withCheckpoint(task: TaskRef, run: number): VoidedRun {
    const checkpoint = this.options.progress.checkpointOf(taskKey(task), run);
    return {task, run, checkpoint};
  }
}
