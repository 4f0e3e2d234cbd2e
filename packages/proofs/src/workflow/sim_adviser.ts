/**
 * An adviser on virtual time: allows some workers, with tickets for one
 * incarnation.
 */
import type {AdviceReply} from '@primrosewick/protocol';
import {
  stepKey,
  type Random,
  type StepRef,
  type WorkerId,
} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {SimWorker} from './sim_worker.js';

const MAX_DELAY_MS = 400;
/** Calls that fail, in percent. */
const FAIL_PERCENT = 5;
const ALLOWED_OF_TEN = 6;

/** Ticket of a step for one incarnation of a worker. */
export const ticketOf = (
  step: StepRef,
  {id, bornAt}: Pick<SimWorker, 'id' | 'bornAt'>,
): string => `${stepKey(step)}@${id}#${bornAt}`;

/** Whether a step may run on a worker; one of the five workers always may. */
export const isAllowed = (step: StepRef, worker: WorkerId): boolean => {
  const text = stepKey(step);
  let hash = 0;
  for (let i = 0; i < text.length; i++)
    hash = (hash * 31 + text.charCodeAt(i)) >>> 0;
  const number = Number(worker.slice(1));
  return hash % 5 === number || (hash + 7 * number) % 10 < ALLOWED_OF_TEN;
};

/** Options of the adviser. */
export interface SimAdviserOptions {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly workers: readonly SimWorker[];
}

/** Answers calls for advice. */
export class SimAdviser {
  constructor(private readonly options: SimAdviserOptions) {}

  /** Answers or fails after a random delay. */
  ask(step: StepRef, asked: readonly WorkerId[]): Promise<AdviceReply> {
    const {queue, random, workers} = this.options;
    return new Promise((resolve, reject) => {
      queue.after(random.nextInt(5, MAX_DELAY_MS), () => {
        if (random.nextInt(1, 100) <= FAIL_PERCENT)
          return reject(new Error('the call failed'));
        const allowed = workers.filter(
          ({id, isUp}) => isUp && asked.includes(id) && isAllowed(step, id),
        );
        resolve({
          kind: 'allowed',
          workers: allowed.map(worker => ({
            worker: worker.id,
            ticket: ticketOf(step, worker),
          })),
        });
      });
    });
  }
}
