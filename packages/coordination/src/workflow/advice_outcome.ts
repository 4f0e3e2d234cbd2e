/** Outcomes of calls for advice, and the line about one that failed. */
import type Logger from 'bunyan';
import type {AdviceReply} from '@primrosewick/protocol';
import type {StepKey, VmId} from '@primrosewick/state';

/** A call that was sent. */
export interface SentCall {
  readonly key: StepKey;
  /** Monotonic time, in ms. */
  readonly sentAt: number;
  /** Time that it and the calls before it on its VM should take, in ms. */
  readonly expectedMs: number;
  /** Time for which an answer is waited for, in ms. */
  readonly answerMs: number;
  /** Tries for the step that were waited out, and this one. */
  readonly tries: number;
}

/** A reply, or why the VM could not make the call. */
export type CallOutcome =
  AdviceReply | {readonly kind: 'failed'; readonly err: unknown};

/** Whether the adviser replied, if only that it is busy. */
export const isAnswer = ({kind}: CallOutcome): boolean =>
  kind === 'allowed' || kind === 'busy';

/** How a call failed. */
export interface FailedCall {
  readonly vm: VmId;
  readonly tookMs: number;
  readonly outcome: CallOutcome;
}

/** Logs a call that failed, and what it waited for. */
export const logFailedCall = (
  logger: Logger,
  {key, answerMs, expectedMs, tries}: SentCall,
  {vm, tookMs, outcome}: FailedCall,
): void => {
  const err = outcome.kind === 'failed' ? String(outcome.err) : 'no answer';
  logger.info(
    {
      change: 'advice_failed',
      step: key,
      vm,
      tookMs: Math.round(tookMs),
      answerMs: Math.round(answerMs),
      expectedMs: Math.round(expectedMs),
      tries,
      err,
    },
    'call to the placement adviser failed',
  );
};
