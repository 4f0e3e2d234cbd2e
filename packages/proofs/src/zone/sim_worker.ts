import type {StartResult} from '@primrosewick/coordination';
import type {StartOrder, WorkerOrders} from '@primrosewick/protocol';
import {
  asId,
  type Size,
  type TaskOutcome,
  type WorkerId,
  type ZoneId,
} from '@primrosewick/state';
import {WorkerCore, type RunRecord} from '@primrosewick/standins';
import {SimProcess} from '../world/process.js';
import type {ZoneWorld} from './zone_world.js';

const ANNOUNCE_MS = 500;
const TICK_MS = 50;

/** Options of a worker on virtual time. */
export interface SimWorkerOptions {
  readonly name: string;
  readonly zone: ZoneId;
  readonly rack: string;
  readonly size: Size;
  /** Rate of its clock relative to virtual time; 1 is exact. */
  readonly rate: number;
  readonly outcomeOf: (command: string) => TaskOutcome;
}

/** A worker at a fixed address, on virtual time. */
export class SimWorker {
  private starts = 0;
  private core: WorkerCore;
  private pastRuns: RunRecord[] = [];
  process = new SimProcess();

  constructor(
    private readonly options: SimWorkerOptions,
    private readonly world: ZoneWorld,
  ) {
    this.core = this.newCore();
    this.startTimers(this.process);
  }

  /** Address of the worker. */
  get address(): string {
    return this.options.name;
  }

  /** Kills the process with all its runs. */
  crash(): void {
    if (!this.process.isAlive) return;
    this.process.kill();
    this.core.tick(this.now);
    this.pastRuns.push(
      ...this.core.runs.map(run => ({
        ...run,
        endedAt: Math.min(run.endedAt, this.now),
      })),
    );
    if (this.core.overSize > 0)
      this.world.oracle.addViolation(
        `${this.address} was given more than its size`,
      );
  }

  /** Starts a new process at the same address. */
  restart(): void {
    this.crash();
    this.process = new SimProcess();
    this.core = this.newCore();
    this.startTimers(this.process);
  }

  /** Handles a start; `reply` gets its result. */
  order(order: StartOrder, reply: (result: StartResult) => void): void {
    if (!this.process.isAlive) return reply('refused');
    this.process.run(() => {
      const refusal = this.core.start(order, this.now);
      if (refusal === 'other_worker') return reply('unknown');
      reply(refusal ? 'refused' : 'accepted');
    });
  }

  /** All runs at this address, in virtual time. */
  allRuns(): RunRecord[] {
    const current = this.process.isAlive ? this.core.runs : [];
    return [...this.pastRuns, ...current].map(run => ({
      ...run,
      startedAt: run.startedAt / this.options.rate,
      endedAt: run.endedAt / this.options.rate,
    }));
  }

  /** Adds a violation if the worker was given more than its size. */
  check(): void {
    if (this.core.overSize > 0)
      this.world.oracle.addViolation(
        `${this.address} was given more than its size`,
      );
  }

  private get now(): number {
    return this.world.queue.now * this.options.rate;
  }

  private newCore(): WorkerCore {
    this.starts++;
    const {name, zone, rack, size, outcomeOf} = this.options;
    return new WorkerCore({
      worker: asId<WorkerId>(`${name}-${this.starts}`),
      zone,
      rack,
      address: name,
      size,
      outcomeOf,
    });
  }

  private startTimers(process: SimProcess): void {
    this.every(process, ANNOUNCE_MS, () => this.announce(process));
    this.every(process, TICK_MS, () => this.core.tick(this.now));
  }

  private every(
    process: SimProcess,
    periodMs: number,
    action: () => void,
  ): void {
    this.world.queue.after(periodMs, () =>
      process.run(() => {
        action();
        this.every(process, periodMs, action);
      }),
    );
  }

  private announce(process: SimProcess): void {
    const {core} = this;
    const report = core.announce(this.now);
    const onOrders = (orders: WorkerOrders): void =>
      process.run(() => core.onAnnouncementReply(report.seq, orders, this.now));
    this.world.sendToRandomVm(this.address, vm => {
      vm.leader.announceWorker(report).then(
        orders =>
          this.world.network.send(vm.vm, this.address, () => onOrders(orders)),
        () => undefined,
      );
    });
  }
}
