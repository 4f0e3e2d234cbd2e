/** Words that others write in the name of workers. */
import type {WorkflowService} from '@primrosewick/coordination';
import {
  assertNever,
  type Random,
  type WorkerId,
  type WorkerRegistration,
} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {SimReports} from './sim_reports.js';
import type {SimWorker} from './sim_worker.js';

/** What another writer says in the name of a worker. */
export const FORGED_WORDS = [
  'goodbye without a start',
  'goodbye of a later start',
  'copied goodbye',
  'later start',
  'later start elsewhere',
  'later start nowhere',
  'copied start elsewhere',
  'copied start nowhere',
] as const;

/** Kind of forged words; "elsewhere" is another worker's address. */
export type ForgedWord = (typeof FORGED_WORDS)[number];

/** Options of {@link ForgedWords}. */
export interface ForgedWordsOptions {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly workers: readonly SimWorker[];
  readonly reports: SimReports;
  /** The service of the leader. */
  readonly service: () => WorkflowService | undefined;
}

/** Time for which the leader may take to answer, in ms. */
const ANSWER_MS = 900;
/** Address at which nobody listens. */
const NOWHERE = '10.0.9.9:1';
/**
 * Bound of how far a forged start is ahead, in incarnations. Starts of workers
 * are odd and forged ones even, as no two processes of a worker start at once.
 */
const MAX_AHEAD = 3;
/** How far the sequence of a copied start is ahead. */
const SEQUENCE_AHEAD = 1_000_000;

/** Writes in the name of workers. */
export class ForgedWords {
  /** Latest forged start of each worker. */
  private readonly latestStart = new Map<WorkerId, number>();
  /** Start of each worker's incarnation that was copied last. */
  private readonly copiedStart = new Map<WorkerId, number>();

  constructor(private readonly options: ForgedWordsOptions) {}

  /** Start that the next incarnation of a worker must exceed to be heard. */
  latestStartOf({id}: SimWorker): number {
    return this.latestStart.get(id) ?? 0;
  }

  /** Whether the words of a worker may count as outdated until it starts anew. */
  mayOutdate(worker: SimWorker): boolean {
    const isCopied = this.copiedStart.get(worker.id) === worker.bornAt;
    return isCopied || this.latestStartOf(worker) > worker.bornAt;
  }

  /** Writes in the name of a worker. */
  write(worker: SimWorker, word: ForgedWord): void {
    switch (word) {
      case 'goodbye without a start':
        return this.sayGoodbye(worker, null);
      case 'goodbye of a later start':
        return this.sayGoodbye(worker, this.drawStart(worker));
      case 'copied goodbye':
        this.copiedStart.set(worker.id, worker.bornAt);
        return this.sayGoodbye(worker, worker.bornAt);
      case 'later start':
        return this.reportLater(worker, worker.address);
      case 'later start elsewhere':
        return this.reportLater(worker, this.otherAddress(worker));
      case 'later start nowhere':
        return this.reportLater(worker, NOWHERE);
      case 'copied start elsewhere':
        return this.reportCopied(worker, this.otherAddress(worker));
      case 'copied start nowhere':
        return this.reportCopied(worker, NOWHERE);
      default:
        return assertNever(word);
    }
  }

  private sayGoodbye({id}: SimWorker, bornAt: number | null): void {
    const {queue, service} = this.options;
    this.deliver(() =>
      service()?.removeWorker({worker: id, bornAt}, queue.now + ANSWER_MS),
    );
  }

  private reportLater(worker: SimWorker, address: string): void {
    const bornAt = this.drawStart(worker);
    const latest = Math.max(bornAt, this.latestStartOf(worker));
    this.latestStart.set(worker.id, latest);
    const report = this.options.reports.reportOf(worker);
    this.send({...report, address, bornAt});
  }

  private reportCopied(worker: SimWorker, address: string): void {
    this.copiedStart.set(worker.id, worker.bornAt);
    const report = this.options.reports.reportOf(worker);
    const sequence = report.sequence + SEQUENCE_AHEAD;
    this.send({...report, address, sequence});
  }

  private send(report: WorkerRegistration): void {
    const {reports, random} = this.options;
    const isToLeader = random.nextInt(0, 1) === 0;
    this.deliver(() => reports.deliver(report, isToLeader));
  }

  private deliver(act: () => Promise<unknown> | undefined): void {
    const {queue, random} = this.options;
    queue.after(random.nextInt(1, 20), () => {
      void act()?.catch(() => undefined);
    });
  }

  private drawStart({bornAt}: SimWorker): number {
    return bornAt + 2 * this.options.random.nextInt(1, MAX_AHEAD) - 1;
  }

  private otherAddress(worker: SimWorker): string {
    const {workers, random} = this.options;
    const others = workers.filter(other => other !== worker);
    return others[random.nextInt(0, others.length - 1)]!.address;
  }
}
