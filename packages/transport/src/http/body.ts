import type {IncomingMessage} from 'node:http';
import {CellError, type ReasonCode} from '@primrosewick/state';
import {startTimeout} from '../tasks/timers.js';
import {isFragmented} from './budget/core.js';
import {GrowingBuffer} from './budget/growing_buffer.js';

/** Accounts for what a body holds while it is read. */
export interface BodyAccount {
  /** Adds bytes; negative where they are let go. */
  charge(bytes: number): void;
  /** Lets a body be rejected while it is read; @returns a function that ends this. */
  addBody(reject: () => void): () => void;
  /** Starts no further request of the connection. */
  endInput(): void;
}

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Maximum time until the whole body has arrived, in ms. */
  readonly timeoutMs: number;
  /** Absent where nothing is accounted for. */
  readonly account?: BodyAccount;
}

/**
 * Reads a whole request body.
 * @throws CellError `body_too_large`, `slow_sender`, `too_many_requests` or
 *   `client_gone`.
 */
export const readBody = (
  req: IncomingMessage,
  {maxBytes, timeoutMs, account}: BodyLimits,
): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const buffer = new GrowingBuffer(maxBytes, change =>
      account?.charge(change),
    );
    let chunks = 0;
    let isOver = false;
    const cleanUp = (): void => {
      isOver = true;
      timer.cancel();
      removeBody?.();
      req.off('data', onData).off('end', onEnd).off('close', onClose);
    };
    const fail = (code: ReasonCode): void => {
      if (isOver) return;
      cleanUp();
      account?.endInput();
      buffer.clear();
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
      chunks++;
      const isTooLarge = !buffer.append(part);
      if (isTooLarge || isFragmented(chunks, buffer.length))
        fail('body_too_large');
    };
    const onEnd = (): void => {
      cleanUp();
      const body = buffer.take();
      resolve(body);
    };
    const onClose = (): void => fail('client_gone');
    const removeBody = account?.addBody(() => fail('too_many_requests'));
    const timer = startTimeout(timeoutMs, () => fail('slow_sender'));
    if (Number(req.headers['content-length'] ?? 0) > maxBytes)
      return fail('body_too_large');
    req.on('data', onData).on('end', onEnd).on('close', onClose);
  });
