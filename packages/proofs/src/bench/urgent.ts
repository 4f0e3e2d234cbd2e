/** Time until urgent tasks start in a full zone, on virtual time. */
import {
  PlacementCore,
  asEpoch,
  asId,
  type JobId,
  type JobRecord,
  type ProfileName,
  type TeamName,
  type WorkerId,
  type ZoneId,
} from '@primrosewick/state';
import {WorkerCore} from '@primrosewick/standins';
import {EventQueue} from '../world/event_queue.js';
import {plainProfile} from '../world/profiles.js';
import {quantile, round, type Table} from './report.js';

const WORKER_COUNT = 30;
const URGENT_TASKS = 40;
const HOP_MS = 1;
const ANNOUNCE_MS = 1000;
const GRACE_MS = 500;
const TASK_SIZE = {cpuMillis: 8000, memoryMb: 8192, accelerators: 0};
const WORKER_SIZE = {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0};
const EPOCH = asEpoch(1);

/** A full zone whose tasks can write checkpoints. */
class FullZone {
  readonly queue = new EventQueue();
  private readonly core = new PlacementCore({
    epoch: EPOCH,
    startedAt: -100_000,
  });
  private readonly workers: WorkerCore[];
  private index = 0;

  constructor() {
    this.workers = Array.from({length: WORKER_COUNT}, (_none, i) =>
      this.makeWorker(i),
    );
    this.workers.forEach((worker, i) =>
      this.queue.after((ANNOUNCE_MS * i) / WORKER_COUNT, () =>
        this.announce(worker),
      ),
    );
    this.tick();
    this.queue.advance(2 * ANNOUNCE_MS);
    this.submit(4 * WORKER_COUNT, 4, 3_600_000);
    this.queue.advance(5 * ANNOUNCE_MS);
  }

  /**
   * Submits the urgent tasks; returns the time until the start of each that
   * started, in ms.
   */
  measure(): number[] {
    const submittedAt = this.queue.now;
    const job = this.submit(URGENT_TASKS, 9, 60_000);
    this.queue.advance(20_000);
    const runs = this.workers
      .flatMap(worker => worker.runs)
      .filter(run => run.task.startsWith(`${job}.`));
    return runs.map(run => run.startedAt - submittedAt);
  }

  private makeWorker(i: number): WorkerCore {
    return new WorkerCore({
      worker: asId<WorkerId>(`w${i}`),
      zone: asId<ZoneId>('z'),
      rack: `r${i % 4}`,
      address: String(i),
      size: WORKER_SIZE,
    });
  }

  private announce(worker: WorkerCore): void {
    const report = worker.announce(this.queue.now);
    this.queue.after(HOP_MS, () => {
      const effects = this.step({kind: 'report', now: this.queue.now, report});
      const answer = effects.find(effect => effect.kind === 'answer')?.answer;
      if (!answer) return;
      const reply = {
        epoch: EPOCH,
        leaseMs: 15_000,
        renewed: [...answer.renewed],
        stop: [...answer.stop],
        acknowledged: [...answer.acknowledged],
      };
      this.queue.after(HOP_MS, () =>
        worker.onAnnouncementReply(report.seq, reply, this.queue.now),
      );
    });
    this.queue.after(ANNOUNCE_MS, () => this.announce(worker));
  }

  private tick(): void {
    this.step({kind: 'tick', now: this.queue.now});
    for (const worker of this.workers) worker.tick(this.queue.now);
    this.queue.after(100, () => this.tick());
  }

  private submit(taskCount: number, priority: number, runMs: number): JobId {
    this.index++;
    const id = asId<JobId>(`job-${this.index}`);
    const name = asId<ProfileName>('p');
    const job: JobRecord = {
      id,
      spec: {
        team: asId<TeamName>('t'),
        profile: name,
        taskCount,
        gang: false,
        priority,
        size: TASK_SIZE,
        command: 'run',
        runMs,
      },
      homeZone: asId<ZoneId>('z'),
      state: 'open',
      profile: plainProfile('p', {
        stopping: {
          graceMs: GRACE_MS,
          checkpoint: true,
          repeat: {kind: 'again', maxAttempts: 9, backoffMs: 100},
        },
      }),
      acceptedAt: 0,
      acceptedIndex: this.index,
      started: [],
      ended: [],
    };
    this.step({kind: 'job', now: this.queue.now, job, index: this.index});
    return id;
  }

  private step(event: Parameters<PlacementCore['step']>[0]) {
    const {effects} = this.core.step(event);
    for (const effect of effects) {
      if (effect.kind !== 'start') continue;
      const {order} = effect;
      const worker = this.workers[Number(order.address)]!;
      const startOrder = {...order, epoch: EPOCH, leaseMs: 15_000};
      this.queue.after(HOP_MS, () => worker.start(startOrder, this.queue.now));
    }
    return effects;
  }
}

/** Measures the time until urgent tasks start at full load. */
export const benchUrgent = (): Table => {
  const waits = new FullZone().measure();
  return {
    heading: `Urgent tasks in a full zone of ${WORKER_COUNT} workers (virtual time, grace ${GRACE_MS} ms)`,
    columns: ['urgent tasks', 'started', 'p50 ms', 'p99 ms', 'target ms'],
    rows: [
      [
        URGENT_TASKS,
        waits.length,
        round(quantile(waits, 0.5)),
        round(quantile(waits, 0.99)),
        3500,
      ],
    ],
  };
};
