/**
 * UNASKED: a job whose cancelling was acknowledged runs all the same, as an entry
 * that was frozen takes its submission up seconds after its client has gone.
 */
import {
  BOUNDS,
  CannotRun,
  newId,
  runCase,
  sleep,
} from '../lib-3/cell.mjs';

const MINIONS = 8;
/** Time for which the entry stands still, in ms. */
const FREEZE_MS = 5000;
/** Time for which the client waits for an answer, in ms. */
const CLIENT_MS = 1500;
const JOB = {
  spec: 'work 1000',
  steps: [{count: 2, cpu: 2000, memMb: 1000, estimateMs: 1000}],
};

await runCase(import.meta.dirname, async (cell, isTroubled) => {
  await cell.start({minions: Array.from({length: MINIONS}, () => ({}))});
  await sleep(BOUNDS.contactMs);
  const id = newId();
  const [entry] = cell.entries;
  const frozenAt = performance.now();
  if (isTroubled) cell.signal(entry, 'SIGSTOP');
  await cell.call(0, 'POST', id, {body: JOB, deadlineMs: CLIENT_MS});
  // The client has no answer and doesn't want the job any more.
  const {status} = await cell.call(1, 'DELETE', id);
  if (status !== 410 && (status < 200 || status > 299))
    throw new CannotRun('the cancelling was not acknowledged');
  const cancelledAt = Date.now();
  await sleep(FREEZE_MS - (performance.now() - frozenAt));
  if (isTroubled) cell.signal(entry, 'SIGCONT');
  await sleep(BOUNDS.contactMs + BOUNDS.cancel_ms);
  await cell.call(1, 'GET', id);
  const late = cell.events.filter(
    ({event, task, at}) =>
      event === 'start' &&
      task.startsWith(id) &&
      at > cancelledAt + BOUNDS.cancel_ms,
  );
  if (late.length === 0) return undefined;
  const afterMs = Math.max(...late.map(({at}) => at - cancelledAt));
  return `UNASKED: ${late.length} tasks were started up to ${afterMs} ms after the cancelling was acknowledged with ${status}`;
});
