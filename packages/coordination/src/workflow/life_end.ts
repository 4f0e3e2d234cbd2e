/**
 * Ends the incarnation of a worker at the leader: once another one is proved to
 * have taken its place, or once it has said that it leaves and has no runs.
 */
import type {VoidedRun} from '@primrosewick/state';
import {proofOf} from './end_proof/core.js';
import type {ReplacedProof} from './end_proof/types.js';
import type {LifeLog} from './life_log.js';
import type {OrderFailure} from './ports.js';
import type {RunRef} from './run_lists.js';
import {departureRecord, replacedRecord} from './removals.js';
import type {WorkerChannelOptions} from './worker_channel_options.js';

/** Options of {@link LifeEnd}. */
export interface LifeEndOptions extends Pick<
  WorkerChannelOptions,
  'db' | 'life' | 'record' | 'crashEvidence' | 'onChange'
> {
  readonly lifeLog: LifeLog;
  /** Its recorded runs, with their latest checkpoints. */
  readonly activeRuns: () => readonly VoidedRun[];
  /** Notes that another took its place; @returns those of its runs that it never listed. */
  readonly onReplaced: (runs: readonly VoidedRun[]) => readonly RunRef[];
  /** Time since it last answered, in ms; undefined if it never did. */
  readonly heardAgoMs: () => number | undefined;
}

type OtherAnswer = Pick<
  Extract<OrderFailure, {kind: 'other_life'}>,
  'isNextLife'
>;

/** The end of one incarnation of a worker. */
export class LifeEnd {
  /** Whether a later incarnation of the same worker has answered. */
  hasNextLife = false;
  private replacement: Promise<void> | undefined;
  private departure: Promise<void> | undefined;

  constructor(private readonly options: LifeEndOptions) {}

  /** Whether another incarnation is proved to have taken its place. */
  get isReplaced(): boolean {
    return this.replacement !== undefined;
  }

  /** Whether it has said that it leaves. */
  get isLeaving(): boolean {
    const {db, life} = this.options;
    return db.findIncarnation(life)?.report.isLeaving === true;
  }

  /**
   * Handles the answer of another incarnation at an address that was called, and
   * records the end of this one if that is proof.
   */
  async onOtherAnswer(
    {isNextLife = false}: OtherAnswer,
    calledAddress: string,
  ): Promise<void> {
    const {db, life} = this.options;
    const runsAddress = db.findIncarnation(life)?.report.address;
    const proof = proofOf({kind: 'other_answer', calledAddress, runsAddress});
    if (proof?.kind === 'replaced') {
      this.hasNextLife ||= isNextLife;
      this.replacement ??= this.recordReplacement(proof);
    }
    await this.replacement;
  }

  /** Removes a worker that has said that it leaves and has no runs. */
  depart(): Promise<void> {
    this.departure ??= this.recordDeparture();
    return this.departure;
  }

  private async recordReplacement(proof: ReplacedProof): Promise<void> {
    const {life, lifeLog, record, onChange, activeRuns} = this.options;
    const {isLeaving} = this;
    const crash = this.options.crashEvidence?.();
    const why = 'other_life';
    const departing = lifeLog.departing(life, why, this.options.heardAgoMs());
    const runs = activeRuns();
    // Any other worker refuses the starts.
    const orphans = this.hasNextLife ? this.options.onReplaced(runs) : [];
    const isConfirmed = await record(
      replacedRecord({
        life,
        runs,
        proof,
        orphans,
        isLeaving,
        ...(crash && {crash}),
      }),
    );
    lifeLog.gone(departing, isConfirmed);
    if (!isConfirmed) this.replacement = undefined;
    onChange();
  }

  private async recordDeparture(): Promise<void> {
    const {db, life, lifeLog, record, heardAgoMs} = this.options;
    const departing = lifeLog.departing(life, 'deregistered', heardAgoMs());
    const isConfirmed = await record(departureRecord(life));
    this.departure = undefined;
    if (!db.findIncarnation(life)) lifeLog.gone(departing, isConfirmed);
  }
}
