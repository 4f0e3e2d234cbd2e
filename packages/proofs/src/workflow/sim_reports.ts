/** Carries the reports of simulated workers to a voter or to the leader: on time, late, or not at all. */
import {
  AnnouncementRelay,
  WorkflowReplica,
  type WorkflowService,
} from '@primrosewick/coordination';
import type {
  Random,
  ServiceName,
  WorkerRegistration,
  WorkflowCommand,
} from '@primrosewick/state';
import type Logger from 'bunyan';
import type {EventQueue} from '../world/event_queue.js';
import type {VirtualClock} from '../world/process.js';
import type {SimWorker} from './sim_worker.js';

/** Share of the messages that are lost, and that arrive seconds later. */
export interface ReportFaults {
  readonly lossPercent: number;
  readonly latePercent: number;
}

/** Options of the reports. */
export interface SimReportsOptions {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly clock: VirtualClock;
  readonly logger: Logger;
  readonly pool: ServiceName;
  readonly faults: () => ReportFaults;
  /** The service of the leader. */
  readonly service: () => WorkflowService | undefined;
}

/** Maximum time by which the copy at a voter lags behind the log, in ms. */
const MAX_COPY_LAG_MS = 500;

/** Reports of workers, and the voter that takes those without news. */
export class SimReports {
  /** Copy of the log at a voter that does not lead. */
  private readonly copy = new WorkflowReplica();
  private copiedAt = 0;
  private sequence = 0;
  private readonly relay: AnnouncementRelay;

  constructor(private readonly options: SimReportsOptions) {
    const {clock, logger, service} = options;
    this.relay = new AnnouncementRelay({
      db: this.copy.db,
      clock,
      logger,
      canAnswer: () => true,
      ageMs: () => 0,
      reportToLeader: async workers => {
        await service()?.noteAnnouncements({workers});
      },
    });
  }

  /** Starts the voter's reports to the leader. */
  start(): void {
    this.relay.start();
  }

  /** Stops the voter's reports to the leader. */
  stop(): void {
    this.relay.stop();
  }

  /** Copies a committed entry to the voter after a while. */
  copyEntry(entry: {
    readonly index: number;
    readonly command: WorkflowCommand;
  }): void {
    const {queue, random} = this.options;
    const lagMs = random.nextInt(0, MAX_COPY_LAG_MS);
    this.copiedAt = Math.max(this.copiedAt + 1, queue.now + lagMs);
    queue.after(this.copiedAt - queue.now, () => this.copy.apply(entry));
  }

  /** Sends what a worker says of itself now. */
  send(worker: SimWorker): void {
    const {random, queue} = this.options;
    const report = this.reportOf(worker);
    const roll = random.nextInt(0, 99);
    const {lossPercent, latePercent} = this.options.faults();
    if (roll < lossPercent) return;
    const isLate = roll < lossPercent + latePercent;
    const delayMs = isLate
      ? random.nextInt(2000, 12_000)
      : random.nextInt(1, 20);
    const isToLeader = random.nextInt(0, 1) === 0;
    queue.after(delayMs, () => {
      void this.deliver(report, isToLeader).then(isTaken => {
        const isSame = worker.bornAt === report.bornAt;
        if (isTaken && isSame && !isLate) worker.noteAcknowledged(report.room);
      });
    });
  }

  /** Hands a report to a voter or to the leader; @returns whether it is acknowledged. */
  async deliver(
    report: WorkerRegistration,
    isToLeader: boolean,
  ): Promise<boolean> {
    if (!isToLeader && this.relay.take(report)) return true;
    const reply = await this.options
      .service()
      ?.announceWorker(report)
      .catch(() => undefined);
    return reply?.kind === 'ok';
  }

  /** What a worker says of itself now. */
  reportOf(worker: SimWorker): WorkerRegistration {
    return {
      worker: worker.id,
      bornAt: worker.bornAt,
      address: worker.address,
      pool: this.options.pool,
      zone: 'z' as never,
      room: worker.room,
      labels: [],
      rack: worker.rack,
      isDraining: worker.isDraining,
      remainingMs: 0,
      sequence: ++this.sequence,
    };
  }
}
