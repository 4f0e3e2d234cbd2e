/** Notes by each order whether its worker answers, and how soon. */
import type {Clock} from '@primrosewick/transport';
import type {
  HoldAnswer,
  HoldOrder,
  OrderAnswer,
  OrderPort,
  StartOrder,
  StopOrder,
  WorkerTarget,
} from './ports.js';
import type {Silence} from './silence.js';

/** Options of {@link WatchedOrders}. */
export interface WatchedOrdersOptions {
  readonly port: OrderPort;
  readonly clock: Clock;
  readonly silence: Silence;
}

/** Sends orders to one worker, and notes its answers and its silence. */
export class WatchedOrders implements OrderPort {
  constructor(private readonly options: WatchedOrdersOptions) {}

  start(target: WorkerTarget, order: StartOrder): Promise<OrderAnswer> {
    return this.watch(() => this.options.port.start(target, order), 0);
  }

  stop(target: WorkerTarget, order: StopOrder): Promise<OrderAnswer> {
    return this.watch(() => this.options.port.stop(target, order), 0);
  }

  hold(target: WorkerTarget, order: HoldOrder): Promise<HoldAnswer> {
    const {waitMs} = order;
    return this.watch(() => this.options.port.hold(target, order), waitMs);
  }

  /** Makes a call that a sound worker answers within `waitMs` and little more. */
  private async watch<T extends OrderAnswer | HoldAnswer>(
    call: () => Promise<T>,
    waitMs: number,
  ): Promise<T> {
    const {clock, silence} = this.options;
    const sentAt = clock.now();
    const answer = await call();
    switch (answer.kind) {
      case 'accepted':
      case 'lists':
        silence.noteAnswer(clock.wall());
        break;
      case 'not_sent':
      case 'no_answer':
        silence.noteFailure(clock.now(), {sentAt, dueAt: sentAt + waitMs});
        break;
      case 'refused':
      case 'other_life':
        break;
    }
    return answer;
  }
}
