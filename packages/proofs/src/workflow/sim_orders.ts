/**
 * Orders to simulated workers, which arrive on time, late, or not at all, at
 * whoever holds the address. An order names the worker and not its incarnation:
 * the next one executes it, and only its answer tells that it was another.
 */
import type {
  HoldAnswer,
  HoldOrder,
  OrderAnswer,
  OrderFailure,
  OrderPort,
  StartOrder,
  StopOrder,
  WorkerTarget,
} from '@primrosewick/coordination';
import type {Random} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import {
  SimConnections,
  type ConnectionPolicy,
  type SimCall,
  type SimConnection,
} from './sim_connections.js';
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
  readonly connectionPolicy: ConnectionPolicy;
}

const CALL_TIMEOUT_MS = 1000;
/** Time to make a connection, in ms. */
const CONNECT_MS = 1;
const LOST = {kind: 'no_answer', detail: 'the connection closed'} as const;
const NO_ANSWER = {kind: 'no_answer', detail: 'time'} as const;
const REFUSED = {kind: 'not_sent', detail: 'connection refused'} as const;
const NO_CONNECTION = {kind: 'not_sent', detail: 'no connection'} as const;

const OUTDATED = {kind: 'not_sent', detail: 'outdated'} as const;

const OTHER_LIFE: OrderFailure = {kind: 'other_life'};
const NEXT_LIFE: OrderFailure = {kind: 'other_life', isNextLife: true};

/** A call on its way; `T` is what it is answered with. */
interface Passage<T> {
  readonly target: WorkerTarget;
  /** Executes the order at a worker, which replies now or later. */
  readonly act: (worker: SimWorker, reply: (answer: T) => void) => void;
  readonly resolve: (answer: T | OrderFailure) => void;
  /** Number from 0 to 99 that decides on loss and delay. */
  readonly roll: number;
}

/** Delivers the orders of one leadership. */
export class SimOrders implements OrderPort {
  private readonly connections: SimConnections;

  constructor(private readonly options: SimOrdersOptions) {
    const {queue, connectionPolicy: policy, network} = options;
    const now = () => queue.now;
    this.connections = new SimConnections({now, policy});
    network.addClient(this.connections);
  }

  start(target: WorkerTarget, order: StartOrder): Promise<OrderAnswer> {
    const sentAt = this.options.queue.now;
    return this.call<OrderAnswer>(target, (worker, reply) =>
      reply(worker.start(order, {sentAt, isMeant: isMeant(target, worker)})),
    );
  }

  stop(target: WorkerTarget, order: StopOrder): Promise<OrderAnswer> {
    return this.call<OrderAnswer>(target, (worker, reply) =>
      reply(worker.stop(order)),
    );
  }

  hold(target: WorkerTarget, order: HoldOrder): Promise<HoldAnswer> {
    const {queue, random, network} = this.options;
    const act = (
      worker: SimWorker,
      reply: (answer: HoldAnswer) => void,
    ): void =>
      worker.hold(order, answer =>
        queue.after(random.nextInt(1, 20), () => {
          if (!network.isMute(worker)) reply(answer);
        }),
      );
    return this.call(target, act, order.waitMs);
  }

  private call<T>(
    target: WorkerTarget,
    act: Passage<T>['act'],
    waitMs = 0,
  ): Promise<T | OrderFailure> {
    const {queue, random} = this.options;
    return new Promise(resolve => {
      const roll = random.nextInt(0, 99);
      const passage = {target, act, resolve, roll};
      let hasWaited = false;
      const carry = (connection: SimConnection): void =>
        this.carry(passage, connection, () => call);
      const carryUnlessOutdated = (connection: SimConnection): void => {
        if (!target.isOutdated?.()) return carry(connection);
        call.noteRefusal();
        resolve(OUTDATED);
      };
      const call: SimCall = this.connections.begin(target.address, {
        waitMs,
        onSent: connection => {
          if (!hasWaited) return carry(connection);
          queue.after(CONNECT_MS, () => carryUnlessOutdated(connection));
        },
        onLost: () => resolve(LOST),
      });
      hasWaited = true;
      queue.after(CALL_TIMEOUT_MS + waitMs, () =>
        resolve(call.giveUp() ? NO_ANSWER : NO_CONNECTION),
      );
    });
  }

  /** Carries a call over a connection: on time, late, or not at all. */
  private carry<T>(
    {target, act, resolve, roll}: Passage<T>,
    connection: SimConnection,
    callOf: () => SimCall,
  ): void {
    const {queue, random, network, faults} = this.options;
    const listener = network.listenerAt(target.address);
    const {lossPercent, latePercent, outlivesProcess} = faults();
    if (!listener || network.isSilent(listener) || roll < lossPercent) return;
    const sentTo = listener.bornAt;
    const isLate = roll < lossPercent + latePercent;
    const answer = (value: T | OrderFailure): void => {
      if (isLate || connection.isMuted) return;
      callOf().noteAnswer();
      resolve(value);
    };
    const delayMs = isLate
      ? random.nextInt(2000, 12_000)
      : random.nextInt(1, 20);
    queue.after(delayMs, () => {
      if (connection.isMuted || network.isMute(listener)) return;
      if (network.refuses(listener)) {
        callOf().noteRefusal();
        return resolve(REFUSED);
      }
      if (!listener.isUp) return;
      if (isLate && !outlivesProcess && listener.bornAt !== sentTo) return;
      deliver({target, act}, listener, answer);
    });
  }
}

/** Executes an order at whoever holds the address, unless it names another worker. */
const deliver = <T>(
  {target, act}: Pick<Passage<T>, 'target' | 'act'>,
  listener: SimWorker,
  answer: (value: T | OrderFailure) => void,
): void => {
  if (listener.id !== target.worker) return answer(OTHER_LIFE);
  const isOther = !isMeant(target, listener);
  act(listener, value => answer(isOther ? NEXT_LIFE : value));
};

/** Whether a worker is the incarnation that an order is for. */
const isMeant = ({worker, bornAt}: WorkerTarget, listener: SimWorker) =>
  listener.id === worker && listener.bornAt === bornAt;
