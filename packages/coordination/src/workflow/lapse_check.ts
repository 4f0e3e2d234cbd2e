/** Gives up the runs of a silent worker once its lease has certainly lapsed. */
import type {Subscription} from 'rxjs';
import {taskKey} from '@primrosewick/state';
import type {RunRecords} from './run_records.js';
import type {Silence} from './silence.js';
import type {StartLedger} from './start_ledger.js';
import type {WorkerChannelOptions} from './worker_channel_options.js';
import type {WorkerClock} from './worker_clock.js';

/** Options of {@link LapseCheck}. */
export interface LapseCheckOptions extends Pick<
  WorkerChannelOptions,
  'db' | 'life' | 'clock'
> {
  readonly workerClock: WorkerClock;
  readonly silence: Silence;
  readonly starts: StartLedger;
  readonly runs: Pick<RunRecords, 'giveUp'>;
}

/** Watches the lease of one worker while it is silent. */
export class LapseCheck {
  /** Whether the lease has lapsed since the last answer. */
  isLapsed = false;
  private timer: Subscription | undefined;
  private isGivingUp = false;

  constructor(private readonly options: LapseCheckOptions) {}

  /** Notes an answer; @returns whether the lease had lapsed. */
  noteAnswer(): boolean {
    const wasLapsed = this.isLapsed;
    this.isLapsed = false;
    return wasLapsed;
  }

  /** Checks the lease of a worker that did not answer, now and when it is due. */
  async check(): Promise<void> {
    const {db, life, clock, workerClock, silence, starts, runs} = this.options;
    if (silence.since === undefined) return;
    const now = clock.now();
    const {lapseAt} = workerClock;
    if (now < lapseAt) return this.setTimer(lapseAt - now);
    this.isLapsed = true;
    const active = db.findIncarnation(life)?.active.values() ?? [];
    const lapsed = [...active].filter(
      ({task}) => !starts.isInFlight(taskKey(task)),
    );
    if (this.isGivingUp) return;
    this.isGivingUp = true;
    await runs.giveUp(lapsed, {kind: 'silence', now, lapseAt});
    this.isGivingUp = false;
  }

  /** Drops the timer. */
  close(): void {
    this.timer?.unsubscribe();
  }

  private setTimer(leftMs: number): void {
    if (this.timer) return;
    // Rounded up, as a timer may be a fraction of a ms early.
    this.timer = this.options.clock
      .after(Math.ceil(leftMs) + 1)
      .subscribe(() => {
        this.timer = undefined;
        void this.check();
      });
  }
}
