/** Calls the adviser from this VM or, over a link, from another one. */
import type {AdvicePort} from '@primrosewick/coordination';
import type {AdviceReply, LinkMethods} from '@primrosewick/protocol';
import type {StepRef, VmId, WorkerId} from '@primrosewick/state';
import type {Clock, LinkCaller} from '@primrosewick/transport';

/** Options of `AdviceCalls`. */
export interface AdviceCallsOptions {
  /** This VM. */
  readonly vm: VmId;
  readonly peers: LinkCaller;
  readonly port: AdvicePort;
  readonly clock: Clock;
}

/** Time for the link and for event loops that lag, beside that for the adviser, in ms. */
const LINK_MARGIN_MS = 500;
/** Time for the answer to a call of an earlier version, in ms. */
const DEFAULT_ANSWER_MS = 4000;

/** Makes and serves calls for advice. */
export class AdviceCalls {
  constructor(private readonly options: AdviceCallsOptions) {}

  /** Makes a VM call the adviser, until a deadline of the monotonic clock in ms. */
  ask(
    vm: VmId,
    step: StepRef,
    workers: readonly WorkerId[],
    deadline: number,
  ): Promise<AdviceReply> {
    const {peers, port, clock} = this.options;
    if (vm === this.options.vm) return port.advise(step, workers, deadline);
    const answerMs = Math.max(0, Math.round(deadline - clock.now()));
    return peers.call(
      vm,
      'advise',
      {step, workers, answerMs},
      {timeoutMs: answerMs + LINK_MARGIN_MS},
    );
  }

  /** Calls the adviser for another VM. */
  answer({
    step,
    workers,
    answerMs,
  }: LinkMethods['advise']['request']): Promise<AdviceReply> {
    const {port, clock} = this.options;
    const isTold = typeof answerMs === 'number' && Number.isFinite(answerMs);
    const deadline = clock.now() + (isTold ? answerMs : DEFAULT_ANSWER_MS);
    return port.advise(step, workers, deadline);
  }
}
