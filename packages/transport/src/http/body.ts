import type {IncomingMessage} from 'node:http';
import {CellError, type ReasonCode} from '@primrosewick/state';
import {startTimeout} from '../tasks/timers.js';

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Maximum time until the whole body has arrived, in ms. */
  readonly timeoutMs: number;
}

/**
 * Reads a whole request body.
 * @throws CellError `body_too_large`, `slow_sender` or `client_gone`.
 */
export const readBody = (
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let length = 0;
    const cleanUp = (): void => {
      timer.cancel();
      req.off('data', onData).off('end', onEnd).off('close', onClose);
    };
    const fail = (code: ReasonCode): void => {
      cleanUp();
      reject(
        new CellError({
          code,
          step: 'read-body',
          peer: 'client',
          outcome: 'not_run',
        }),
      );
    };
    const onData = (part: Buffer): void => {
      parts.push(part);
      length += part.length;
      if (length > limits.maxBytes) fail('body_too_large');
    };
    const onEnd = (): void => {
      cleanUp();
      resolve(Buffer.concat(parts, length));
    };
    const onClose = (): void => fail('client_gone');
    const timer = startTimeout(limits.timeoutMs, () => fail('slow_sender'));
    if (Number(req.headers['content-length'] ?? 0) > limits.maxBytes)
      return fail('body_too_large');
    req.on('data', onData).on('end', onEnd).on('close', onClose);
  });
