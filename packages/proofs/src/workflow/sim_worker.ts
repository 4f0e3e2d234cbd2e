/**
 * A worker on virtual time: rejects stale fences, runs tasks under a lease and
 * lists ended runs.
 */
import type {
  HoldAnswer,
  HoldOrder,
  OrderAnswer,
  OrderRefusal,
  StartOrder,
  StopOrder,
} from '@primrosewick/coordination';
import {
  NO_RESOURCES,
  addResources,
  subtractResources,
  taskKey,
  type Resources,
  type RunEnd,
  type RunOutcome,
  type StepSpec,
  type TaskKey,
  type TaskRef,
  type WorkerId,
  type WorkflowId,
} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {GangRuns} from './gang_runs.js';
import type {WorkflowOracle} from './oracle.js';
import {RoomHistory} from './room_history.js';
import {ticketOf} from './sim_adviser.js';

/** Options of a worker. */
export interface SimWorkerOptions {
  readonly id: WorkerId;
  /** Address that its process holds, the same for all incarnations. */
  readonly address: string;
  readonly rack: string;
  readonly queue: EventQueue;
  readonly oracle: WorkflowOracle;
  readonly gangs: GangRuns;
  readonly room: Resources;
  /** Longest lease that it accepts, in ms. */
  readonly maxLeaseMs: number;
  /** Called after its process has ended, and after the next one has started. */
  readonly onChange: () => void;
  /** Maximum number of ends that one list holds. */
  readonly maxListedEnds: number;
  /** Rate of its clock relative to virtual time, 0.98 to 1. */
  readonly rate: number;
  /** Whether a start needs a ticket of the adviser. */
  readonly needsTicket: (task: TaskRef) => boolean;
  readonly stepOf: (task: TaskRef) => StepSpec | undefined;
  /** Draws how long a run takes and whether it fails. */
  readonly drawRun: (task: TaskRef) => RunDraw;
}

/** How a run goes. */
export interface RunDraw {
  readonly runMs: number;
  readonly fails: boolean;
  /** How long the worker is down that starts the task, in ms; absent if it crashes none. */
  readonly crashesForMs?: number;
}

/** How a start came to a worker. */
export interface StartArrival {
  /** Virtual time at which it was sent, in ms. */
  readonly sentAt: number;
  /** Whether it is for this incarnation. */
  readonly isMeant: boolean;
}

interface Run {
  readonly task: TaskRef;
  readonly run: number;
  readonly room: Resources;
  /** Whether its start was for this incarnation. */
  readonly isMeant: boolean;
  readonly token: object;
  readonly startedAt: number;
  /**
   * Duration of the run, in ms; undefined for a gang, which waits for its
   * members.
   */
  readonly runMs: number | undefined;
}

const STOP_DELAY_MS = 300;
const GANG_WAIT_MS = 3000;
/** Time from the start of a task that crashes its worker to the crash, in ms. */
const CRASH_DELAY_MS = 20;
/** Difference between the starts of successive incarnations; all are odd. */
const START_STEP = 2;

/** One worker through all its incarnations. */
export class SimWorker {
  bornAt = 1;
  isUp = true;
  isDraining = false;
  /** Start of the incarnation that a task has crashed, which ends connections in sight. */
  crashedByTask = 0;
  private fence = 0;
  private leaseEnd = 0;
  private bootTime = 0;
  private ended: RunEnd[] = [];
  private endCount = 0;
  private readonly endedAt = new Map<number, number>();
  /** When the lease last expired; earlier ends no longer count. */
  private lapsedAt = Number.NEGATIVE_INFINITY;
  private rooms: RoomHistory;
  private used = NO_RESOURCES;
  private readonly running = new Map<TaskKey, Run>();
  /** Highest run that ended or was stopped, by task. */
  private readonly barred = new Map<TaskKey, number>();
  private waiters: Array<() => void> = [];

  constructor(private readonly options: SimWorkerOptions) {
    this.rooms = new RoomHistory(options.room);
  }

  get id(): WorkerId {
    return this.options.id;
  }

  get address(): string {
    return this.options.address;
  }

  get rack(): string {
    return this.options.rack;
  }

  /** Crashes the worker; its next incarnation starts without any state. */
  crash(): void {
    this.options.oracle.recordCrash(this.id);
    this.goDown();
  }

  /** Crashes by itself, alone. */
  crashByChance(): void {
    this.options.oracle.recordChanceCrash(this.id);
    this.crash();
  }

  /** Ends after a goodbye. */
  depart(): void {
    this.options.oracle.recordDeparture(this.id);
    this.goDown();
  }

  private goDown(): void {
    const runs = [...this.running.values()];
    for (const run of runs) this.remove(run);
    this.isUp = false;
    this.waiters = [];
    for (const {task, run} of runs) this.options.gangs.leave(task, run);
    this.options.onChange();
  }

  /** Crashes by a task, and starts the next incarnation after a while. */
  private crashBy(task: TaskRef, downMs: number): void {
    this.options.oracle.recordCrashBy(task);
    this.crashedByTask = this.bornAt;
    this.crash();
    this.options.queue.after(downMs, () => this.restart());
  }

  /** Starts the next incarnation, later than an even start in its name. */
  restart(forgedStart = 0): void {
    if (this.isUp) return;
    this.isUp = true;
    this.isDraining = false;
    this.bornAt = Math.max(this.bornAt, forgedStart - 1) + START_STEP;
    this.fence = 0;
    this.bootTime = this.options.queue.now;
    this.leaseEnd = 0;
    this.ended = [];
    this.endCount = 0;
    this.barred.clear();
    this.rooms = new RoomHistory(this.options.room);
    this.options.onChange();
  }

  /** Workflows whose tasks it runs, each once a task. */
  get workflows(): WorkflowId[] {
    return [...this.running.values()].map(({task}) => task.workflow);
  }

  /** The room that is not in use. */
  get freeRoom(): Resources {
    return subtractResources(this.rooms.current, this.used);
  }

  /** The room that it reports now. */
  get room(): Resources {
    return this.rooms.current;
  }

  /** Changes its room; what runs goes on. */
  resize(room: Resources): void {
    this.rooms.change(room);
  }

  /** Notes that a report of a room was acknowledged. */
  noteAcknowledged(room: Resources): void {
    this.rooms.noteAcknowledged(room, this.options.queue.now);
  }

  /** Executes a start, also one for an earlier incarnation. */
  start(order: StartOrder, arrival: StartArrival): OrderAnswer {
    const key = taskKey(order.task);
    const known = this.running.get(key);
    if (!this.acceptFence(order.fence)) return this.refuse('stale_fence');
    if (known?.run === order.run) return this.accept();
    if (order.leaseEnd <= this.clockMs) return this.refuse('late');
    this.extendLease(order.leaseEnd);
    if (known || order.run <= (this.barred.get(key) ?? 0))
      return this.refuse('old_run');
    const obstacle = this.findObstacle(order, arrival);
    if (obstacle) return this.refuse(obstacle);
    this.begin(order, arrival);
    return this.accept();
  }

  stop({task, run, fence}: StopOrder): OrderAnswer {
    if (!this.acceptFence(fence)) return this.refuse('stale_fence');
    const key = taskKey(task);
    this.barred.set(key, Math.max(run, this.barred.get(key) ?? 0));
    const known = this.running.get(key);
    if (known?.run === run)
      this.scheduleForRun(STOP_DELAY_MS, known, () =>
        this.end(known, 'stopped'),
      );
    return this.accept();
  }

  hold(order: HoldOrder, reply: (answer: HoldAnswer) => void): void {
    if (!this.acceptFence(order.fence))
      return reply(this.refuse('stale_fence'));
    if (order.leaseEnd !== undefined) this.extendLease(order.leaseEnd);
    this.acknowledge(order.endsRecorded);
    if (this.ended.length > 0 || order.waitMs === 0) return reply(this.lists());
    let isDone = false;
    const {bornAt} = this;
    const answer = (): void => {
      if (isDone || !this.isUp || this.bornAt !== bornAt) return;
      isDone = true;
      reply(this.lists());
    };
    this.waiters.push(answer);
    this.options.queue.after(order.waitMs, answer);
  }

  private acknowledge(endsRecorded: number): void {
    for (const {sequence, task, outcome} of this.ended) {
      const endedAt = this.endedAt.get(sequence) ?? 0;
      const isFinal = sequence <= endsRecorded && endedAt > this.lapsedAt;
      if (isFinal && outcome === 'done')
        this.options.oracle.recordAcknowledged(
          task,
          endedAt,
          this.options.queue.now,
        );
    }
    this.ended = this.ended.filter(({sequence}) => sequence > endsRecorded);
  }

  private get clockMs(): number {
    const {queue, rate} = this.options;
    return Math.floor((queue.now - this.bootTime) * rate);
  }

  private acceptFence(fence: number): boolean {
    if (fence < this.fence) return false;
    this.fence = fence;
    return true;
  }

  private extendLease(leaseEnd: number): void {
    const bound = Math.min(leaseEnd, this.clockMs + this.options.maxLeaseMs);
    if (bound <= this.leaseEnd) return;
    this.leaseEnd = bound;
    const incarnation = this.bornAt;
    const waitMs = (bound - this.clockMs) / this.options.rate + 1;
    this.options.queue.after(waitMs, () => {
      if (this.bornAt !== incarnation || !this.isUp) return;
      if (this.clockMs < this.leaseEnd) return;
      this.lapsedAt = this.options.queue.now;
      for (const run of [...this.running.values()]) this.end(run, 'lapsed');
    });
  }

  /**
   * @returns what keeps a start from being executed. A start for this incarnation
   *   breaks the guarantees if its ticket is wrong, or if there is no room for it
   *   even without the runs that were not for this incarnation.
   */
  private findObstacle(
    {task, ticket}: StartOrder,
    {sentAt, isMeant}: StartArrival,
  ): 'no_ticket' | 'no_room' | undefined {
    const {needsTicket, oracle} = this.options;
    const hasTicket = !needsTicket(task) || ticket === ticketOf(task, this);
    if (!hasTicket && !isMeant) return 'no_ticket';
    if (!hasTicket)
      oracle.addViolation(
        `${taskKey(task)} starts on ${this.id} with the wrong ticket ${ticket}`,
      );
    const room = this.roomOf(task);
    if (this.rooms.allows(addResources(this.used, room), sentAt)) return;
    const own = addResources(this.usedByOwn, room);
    if (isMeant && !this.rooms.allows(own, sentAt))
      oracle.addViolation(`${this.id} was given more than its resources`);
    return 'no_room';
  }

  /** What the runs take that were started for this incarnation. */
  private get usedByOwn(): Resources {
    const own = [...this.running.values()].filter(({isMeant}) => isMeant);
    return own.reduce((sum, {room}) => addResources(sum, room), NO_RESOURCES);
  }

  private roomOf(task: TaskRef): Resources {
    return this.options.stepOf(task)?.room ?? NO_RESOURCES;
  }

  private begin(
    {task, run, checkpoint}: StartOrder,
    {isMeant}: StartArrival,
  ): void {
    const {oracle, gangs, stepOf, drawRun: fateOf} = this.options;
    const step = stepOf(task);
    const room = this.roomOf(task);
    this.used = addResources(this.used, room);
    oracle.recordStart(task, run, this.id, this.options.queue.now);
    if (checkpoint !== '') oracle.recordResume(task, checkpoint);
    const {runMs, fails, crashesForMs} = fateOf(task);
    const entry: Run = {
      task,
      run,
      room,
      isMeant,
      token: {},
      startedAt: this.options.queue.now,
      runMs: step?.isGang ? undefined : runMs,
    };
    this.running.set(taskKey(task), entry);
    if (crashesForMs !== undefined)
      return this.scheduleForRun(CRASH_DELAY_MS, entry, () =>
        this.crashBy(task, crashesForMs),
      );
    if (!step?.isGang || fails)
      return this.scheduleForRun(runMs, entry, () =>
        this.end(entry, fails ? 'failed' : 'done'),
      );
    gangs.join(task, run, {
      taskCount: step.taskCount,
      runMs,
      end: outcome => this.end(entry, outcome),
    });
    this.scheduleForRun(GANG_WAIT_MS, entry, () => {
      if (!gangs.hasAllMembers(task, run)) this.end(entry, 'alone');
    });
  }

  /** Ends a run if it is still active. */
  end(entry: Run, outcome: RunOutcome): void {
    if (this.running.get(taskKey(entry.task)) !== entry) return;
    this.remove(entry);
    const {task, run} = entry;
    this.barred.set(taskKey(task), run);
    this.endCount++;
    const sequence = this.endCount;
    this.endedAt.set(sequence, this.options.queue.now);
    const checkpoint = this.saveCheckpoint(entry, outcome);
    this.ended.push({sequence, task, run, outcome, checkpoint});
    this.options.oracle.recordEnd(task, this.id, outcome);
    if (outcome !== 'done') this.options.gangs.leave(task, run);
    const {waiters} = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /**
   * Returns the checkpoint that a run saves when it is stopped, or an empty
   * string.
   */
  private saveCheckpoint({task, run}: Run, outcome: RunOutcome): string {
    const isSaved =
      outcome === 'stopped' &&
      this.options.stepOf(task)?.isCheckpointable === true;
    if (!isSaved) return '';
    const checkpoint = `${taskKey(task)}#${run}`;
    this.options.oracle.recordCheckpoint(task, checkpoint);
    return checkpoint;
  }

  private remove(entry: Run): void {
    this.running.delete(taskKey(entry.task));
    this.used = subtractResources(this.used, entry.room);
  }

  private scheduleForRun(ms: number, entry: Run, act: () => void): void {
    this.options.queue.after(ms, () => {
      if (this.running.get(taskKey(entry.task)) === entry) act();
    });
  }

  private accept(): OrderAnswer {
    return {kind: 'accepted', clockMs: this.clockMs};
  }

  private refuse(why: OrderRefusal) {
    return {kind: 'refused' as const, why, clockMs: this.clockMs};
  }

  private percentOf({startedAt, runMs}: Run): number {
    if (runMs === undefined) return 0;
    return Math.floor((100 * (this.options.queue.now - startedAt)) / runMs);
  }

  private lists(): HoldAnswer {
    const {maxListedEnds} = this.options;
    const ended = this.ended.slice(0, maxListedEnds);
    return {
      kind: 'lists',
      clockMs: this.clockMs,
      ended,
      mayLackEnds: ended.length >= maxListedEnds,
      running: [...this.running.values()].map(entry => ({
        task: entry.task,
        run: entry.run,
        checkpoint: '',
        percent: this.percentOf(entry),
        load: 0,
      })),
    };
  }
}
