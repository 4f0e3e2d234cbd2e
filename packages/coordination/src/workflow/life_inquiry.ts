/** Asks a worker which of its incarnations runs, without telling it anything new. */
import type {LifeState} from './end_proof/types.js';
import type {LifeEnd} from './life_end.js';
import type {HoldAnswer, HoldOrder, WorkerTarget} from './ports.js';
import type {WorkerChannelOptions} from './worker_channel_options.js';
import type {WorkerClock} from './worker_clock.js';

/** Options of {@link LifeInquiry}. */
export interface LifeInquiryOptions extends Pick<
  WorkerChannelOptions,
  'mayOrder' | 'port' | 'life' | 'clock'
> {
  readonly workerClock: WorkerClock;
  readonly end: LifeEnd;
  /** The fence in force, and the last end that the incarnation was told is recorded. */
  readonly terms: () => Pick<HoldOrder, 'fence' | 'endsRecorded'>;
  readonly isClosed: () => boolean;
}

/** Questions to the process that may be one incarnation of a worker. */
export class LifeInquiry {
  constructor(private readonly options: LifeInquiryOptions) {}

  /** Asks once whether the incarnation runs; this also reads its clock. */
  async askLife(target: WorkerTarget): Promise<LifeState> {
    const {end, clock, workerClock} = this.options;
    const answer = await this.ask(target);
    if (answer?.kind === 'other_life')
      await end.onOtherAnswer(answer, target.address);
    if (end.isReplaced) return 'over';
    if (answer?.kind !== 'lists') return 'silent';
    workerClock.note(clock.now(), answer.clockMs);
    return 'runs';
  }

  /** Asks once whether an incarnation runs where it is said to. */
  async ask(target: WorkerTarget): Promise<HoldAnswer | undefined> {
    const {mayOrder, port, life, isClosed, terms} = this.options;
    if (isClosed() || !mayOrder()) return undefined;
    const {fence, endsRecorded} = terms();
    const isOwn = target.bornAt === life.bornAt;
    const told = isOwn ? endsRecorded : 0;
    return port.hold(target, {fence, endsRecorded: told, waitMs: 0});
  }
}
