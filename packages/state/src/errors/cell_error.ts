import {REASONS, type Outcome, type ReasonCode} from './reasons.js';

/** Where and why an operation failed. */
export interface CellErrorOptions {
  /** Reason, also the code that callers see. */
  readonly code: ReasonCode;
  /** Step at which the error arose, such as `parse-body`. */
  readonly step: string;
  /** VM, upstream, worker or client at which the error arose. */
  readonly peer?: string;
  /** Details for a human reader. */
  readonly detail?: string;
  /** Delay before the client may retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Overrides the default outcome of the reason if more is known. */
  readonly outcome?: Outcome;
}

/** Representation of an error on every interface. */
export interface ErrorBody {
  readonly code: ReasonCode;
  readonly outcome: Outcome;
  readonly step: string;
  readonly peer: string;
  readonly message: string;
  readonly retryAfterMs: number;
}

/** Error with a reason code, the step and the peer at which it arose. */
export class CellError extends Error {
  readonly code: ReasonCode;
  readonly step: string;
  readonly peer: string;
  readonly outcome: Outcome;
  readonly retryAfterMs: number;

  constructor(options: CellErrorOptions) {
    const info = REASONS[options.code];
    super(options.detail ?? info.meaning);
    this.name = 'CellError';
    this.code = options.code;
    this.step = options.step;
    this.peer = options.peer ?? 'local';
    this.outcome = options.outcome ?? info.outcome;
    this.retryAfterMs = options.retryAfterMs ?? info.retryAfterMs;
  }

  /** HTTP status code of the reason. */
  get status(): number {
    return REASONS[this.code].status;
  }

  /** The error as it is sent to callers and peers. */
  toBody(): ErrorBody {
    return {
      code: this.code,
      outcome: this.outcome,
      step: this.step,
      peer: this.peer,
      message: this.message,
      retryAfterMs: this.retryAfterMs,
    };
  }

  /** Restores an error received from a peer. */
  static fromBody(body: ErrorBody): CellError {
    return new CellError({...body, detail: body.message});
  }
}

/**
 * Converts any thrown value into a `CellError`.
 * @param thrown - the value caught.
 * @param step - the step to name when the value is not a `CellError`.
 * @param peer - the peer to name when the value is not a `CellError`.
 */
export const toCellError = (
  thrown: unknown,
  step: string,
  peer = 'local',
): CellError => {
  if (thrown instanceof CellError) return thrown;
  const detail = thrown instanceof Error ? thrown.message : String(thrown);
  return new CellError({code: 'internal', step, peer, detail});
};
