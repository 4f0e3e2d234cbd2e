/**
 * Orders to simulated workers, which arrive on time, late, or not at all, at
 * whoever holds the address. An order names the worker and not its incarnation:
 * the next one executes it, and only its answer tells that it was another.
 */
import type {
  HoldAnswer,
  HoldOrder,
  OrderAnswer,
  OrderPort,
  StartOrder,
  StopOrder,
  WorkerTarget,
} from '@primrosewick/coordination';
import type {Random} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {SimNetwork} from './sim_network.js';
import type {SimWorker} from './sim_worker.js';

/** Faults of calls to workers. */
export interface CallFaults {
  readonly lossPercent: number;
  /** Calls without an answer that are executed seconds later. */
  readonly latePercent: number;
  /**
   * Whether such a call outlives the process that it was sent to, so that the next
   * one executes it; by default its connection ends with that process.
   */
  readonly outlivesProcess?: boolean;
}

/** Options of {@link SimOrders}. */
export interface SimOrdersOptions {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly network: SimNetwork;
  readonly faults: () => CallFaults;
}

const CALL_TIMEOUT_MS = 1000;
/** Time until a connection is refused, in ms. */
const REFUSAL_MS = 2;
type OtherLife = Extract<OrderAnswer, {kind: 'other_life'}>;
type NoAnswer = Extract<OrderAnswer, {kind: 'no_answer' | 'not_sent'}>;

const OTHER_LIFE: OtherLife = {kind: 'other_life'};
const NEXT_LIFE: OtherLife = {...OTHER_LIFE, isNextLife: true};

/** Delivers the orders of one leadership. */
export class SimOrders implements OrderPort {
  constructor(private readonly options: SimOrdersOptions) {}

  start(target: WorkerTarget, order: StartOrder): Promise<OrderAnswer> {
    const sentAt = this.options.queue.now;
    return this.call(target, worker =>
      worker.start(order, {sentAt, isMeant: isMeant(target, worker)}),
    );
  }

  stop(target: WorkerTarget, order: StopOrder): Promise<OrderAnswer> {
    return this.call(target, worker => worker.stop(order));
  }

  hold(target: WorkerTarget, order: HoldOrder): Promise<HoldAnswer> {
    const {queue, random, network} = this.options;
    const timeoutMs = CALL_TIMEOUT_MS + order.waitMs;
    return new Promise(resolve => {
      const begin = (worker: SimWorker): undefined => {
        const isOther = !isMeant(target, worker);
        worker.hold(order, answer =>
          queue.after(random.nextInt(1, 20), () => {
            if (!network.isMute(worker)) resolve(isOther ? NEXT_LIFE : answer);
          }),
        );
      };
      void this.call<HoldAnswer | undefined>(target, begin, timeoutMs).then(
        answer => answer && resolve(answer),
      );
      queue.after(timeoutMs, () =>
        resolve({kind: 'no_answer', detail: 'time'}),
      );
    });
  }

  private call<T = OrderAnswer>(
    target: WorkerTarget,
    act: (worker: SimWorker) => T,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<T | NoAnswer | OtherLife> {
    const {queue, random, network} = this.options;
    return new Promise(resolve => {
      const listener = network.listenerAt(target.address);
      const roll = random.nextInt(0, 99);
      const {lossPercent, latePercent, outlivesProcess} = this.options.faults();
      const sentTo = listener?.bornAt;
      const isSilent = !listener || network.isSilent(listener);
      const isLost = isSilent || roll < lossPercent;
      const isLate = !isLost && roll < lossPercent + latePercent;
      queue.after(timeoutMs, () =>
        resolve({kind: 'no_answer', detail: 'time'}),
      );
      if (!isSilent && listener.refusesConnections)
        return queue.after(REFUSAL_MS, () =>
          resolve({kind: 'not_sent', detail: 'connection refused'}),
        );
      if (isLost) return;
      const endConnection = (): void => {
        if (!network.isSilent(listener))
          resolve({kind: 'no_answer', detail: 'connection ended'});
      };
      listener.onCrashInSight(endConnection, timeoutMs);
      const delayMs = isLate
        ? random.nextInt(2000, 12_000)
        : random.nextInt(1, 20);
      queue.after(delayMs, () => {
        if (!listener.isUp || network.isMute(listener)) return;
        if (isLate && !outlivesProcess && listener.bornAt !== sentTo) return;
        const answer = deliver(target, listener, act);
        if (!isLate && answer !== undefined) resolve(answer);
      });
    });
  }
}

/** Executes an order at whoever holds the address, unless it names another worker. */
const deliver = <T>(
  target: WorkerTarget,
  listener: SimWorker,
  act: (worker: SimWorker) => T,
): T | OtherLife => {
  if (listener.id !== target.worker) return OTHER_LIFE;
  const isOther = !isMeant(target, listener);
  const answer = act(listener);
  if (!isOther || answer === undefined) return answer;
  return NEXT_LIFE;
};

/** Whether a worker is the incarnation that an order is for. */
const isMeant = ({worker, bornAt}: WorkerTarget, listener: SimWorker) =>
  listener.id === worker && listener.bornAt === bornAt;
