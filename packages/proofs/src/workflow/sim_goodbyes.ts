/**
 * Workers that say goodbye: they deregister, run on for a while, and end without
 * an acknowledgement too.
 */
import type {WorkflowService} from '@primrosewick/coordination';
import type {Random, WorkerId} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {SimNetwork} from './sim_network.js';
import type {CallFaults} from './sim_orders.js';
import type {SimWorker} from './sim_worker.js';

/** How a worker says goodbye. */
export interface GoodbyeOptions {
  /** Time from the acknowledgement to its end, in ms. */
  readonly afterMs: number;
  /** Whether it drains first. */
  readonly isDrainedFirst?: boolean;
  /** Whether no acknowledgement ever arrives. */
  readonly isNeverAcknowledged?: boolean;
}

/** Options of {@link SimGoodbyes}. */
export interface SimGoodbyesOptions {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly network: SimNetwork;
  readonly faults: () => CallFaults;
  /** The service of the leader. */
  readonly service: () => WorkflowService | undefined;
}

/** Goodbye of one incarnation. */
interface Goodbye extends GoodbyeOptions {
  readonly worker: SimWorker;
  readonly bornAt: number;
  /** Whether the leader took note of it. */
  isHeard: boolean;
  isAcknowledged: boolean;
  whenOver?: () => void;
}

/** Time for which a worker drains before it deregisters, in ms. */
const DRAIN_MS = 1000;
/** Time until the next attempt; an acknowledgement that takes longer is not seen, in ms. */
const RETRY_MS = 1000;
/** Time for which the leader may take to answer, in ms. */
const ANSWER_MS = 900;
/** Bounds of the time until a worker without an acknowledgement ends, in ms. */
const GIVE_UP_MS = [2000, 5000] as const;
/** Time from the end of a worker until its next incarnation may start, in ms. */
const PAUSE_MS = 500;

/** Carries the goodbyes of workers to the leader, and ends the workers. */
export class SimGoodbyes {
  private readonly goodbyes = new Map<WorkerId, Goodbye>();

  constructor(private readonly options: SimGoodbyesOptions) {}

  /** Whether a worker is about to end by its own word. */
  isLeaving({id}: SimWorker): boolean {
    const goodbye = this.goodbyes.get(id);
    return goodbye !== undefined && isCurrent(goodbye);
  }

  /** Makes a worker say goodbye, unless it is down or has begun to. */
  begin(worker: SimWorker, options: GoodbyeOptions): void {
    if (!worker.isUp || this.isLeaving(worker)) return;
    const goodbye: Goodbye = {
      ...options,
      worker,
      bornAt: worker.bornAt,
      isHeard: false,
      isAcknowledged: false,
    };
    this.goodbyes.set(worker.id, goodbye);
    if (options.isDrainedFirst !== true) return this.deregister(goodbye);
    worker.isDraining = true;
    this.options.queue.after(DRAIN_MS, () => this.deregister(goodbye));
  }

  /** Calls back a while after a worker that is leaving has ended. */
  whenOver({id}: SimWorker, act: () => void): void {
    const goodbye = this.goodbyes.get(id);
    if (goodbye) goodbye.whenOver = act;
  }

  private deregister(goodbye: Goodbye): void {
    const {queue, random} = this.options;
    queue.after(random.nextInt(...GIVE_UP_MS), () => {
      if (!goodbye.isAcknowledged) this.end(goodbye);
    });
    this.attempt(goodbye);
  }

  private attempt(goodbye: Goodbye): void {
    if (goodbye.isAcknowledged || !isCurrent(goodbye)) return;
    const {queue} = this.options;
    const triedAt = queue.now;
    this.carry(goodbye.worker, () => void this.deliver(goodbye, triedAt));
    queue.after(RETRY_MS, () => this.attempt(goodbye));
  }

  private async deliver(goodbye: Goodbye, triedAt: number): Promise<void> {
    const {worker, bornAt} = goodbye;
    const deadline = this.options.queue.now + ANSWER_MS;
    const reply = await this.options
      .service()
      ?.removeWorker({worker: worker.id, bornAt}, deadline)
      .catch(() => undefined);
    if (reply?.kind !== 'ok') return;
    goodbye.isHeard ||= reply.value.isKnown;
    this.carry(worker, () => this.acknowledge(goodbye, triedAt));
  }

  private acknowledge(goodbye: Goodbye, triedAt: number): void {
    const {queue} = this.options;
    if (goodbye.isAcknowledged || goodbye.isNeverAcknowledged) return;
    if (queue.now > triedAt + RETRY_MS) return;
    goodbye.isAcknowledged = true;
    queue.after(goodbye.afterMs, () => this.end(goodbye));
  }

  /** Ends a worker; one whose goodbye the leader never heard seems to crash. */
  private end(goodbye: Goodbye): void {
    if (!isCurrent(goodbye)) return;
    const {worker, isHeard, whenOver} = goodbye;
    if (isHeard) worker.depart();
    else worker.crashByChance();
    if (whenOver) this.options.queue.after(PAUSE_MS, whenOver);
  }

  /** Carries a message of or to a worker: on time, late, or not at all. */
  private carry(worker: SimWorker, arrive: () => void): void {
    const {queue, random, network, faults} = this.options;
    const {lossPercent, latePercent} = faults();
    const roll = random.nextInt(0, 99);
    if (network.isSilent(worker) || roll < lossPercent) return;
    const delayMs =
      roll < lossPercent + latePercent
        ? random.nextInt(2000, 12_000)
        : random.nextInt(1, 20);
    queue.after(delayMs, () => {
      if (!network.isMute(worker)) arrive();
    });
  }
}

/** Whether the incarnation that says goodbye still runs. */
const isCurrent = ({worker, bornAt}: Goodbye): boolean =>
  worker.isUp && worker.bornAt === bornAt;
