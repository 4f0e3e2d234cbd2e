/**
 * Stand-in for clients behind a load balancer: spreads requests over all
 * entries, retries on the next entry when one is unreachable or responds that
 * it did not run the request, and checks that each response is complete and
 * belongs to its request. Prints counts.
 */
import {
  callHttp,
  HttpFailure,
  sleep,
  type HttpResponse,
} from '@primrosewick/transport';
import {readArgs, requireArg} from '../utils/args.js';

const args = readArgs(process.argv.slice(2));
const entries = requireArg(args, 'entries').split(',');
const service = requireArg(args, 'service');
const total = Number(args.get('count') ?? 100);
const parallel = Number(args.get('parallel') ?? 4);
const serviceMs = Number(args.get('ms') ?? 5);
const MAX_TRIES = 20;
const RETRY_PAUSE_MS = 50;
const TIMEOUT_MS = 15_000;

const counts = {answered: 0, wrong: 0, gaveUp: 0, resent: 0};
let next = 0;

const call = (entry: string, id: string): Promise<HttpResponse> =>
  callHttp({
    address: entry,
    method: 'GET',
    path: `/v1/services/${service}/requests/check?id=${id}&ms=${serviceMs}`,
    timeoutMs: TIMEOUT_MS,
    maxResponseBytes: 1 << 20,
  });

const isOwnResponse = (response: HttpResponse, id: string): boolean => {
  const body = JSON.parse(response.body.toString('utf8')) as {id?: string};
  return body.id === id;
};

/** Sends one request until it is answered; retries it only if it was not run. */
const sendOne = async (number: number): Promise<void> => {
  const id = `r${number}`;
  for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
    const entry = entries[(number + attempt) % entries.length] ?? '';
    try {
      const response = await call(entry, id);
      if (response.status === 200) {
        counts.answered++;
        if (!isOwnResponse(response, id)) counts.wrong++;
        return;
      }
      const text = response.body.toString('utf8');
      if (!text.includes('"not_run"')) {
        process.stderr.write(
          `request ${id} at ${entry}: ${response.status} ${text}\n`,
        );
        break;
      }
    } catch (err) {
      const isNotSent = err instanceof HttpFailure && !err.mayHaveSent;
      if (!isNotSent) {
        process.stderr.write(`request ${id} at ${entry}: ${String(err)}\n`);
        break;
      }
    }
    counts.resent++;
    await sleep(RETRY_PAUSE_MS);
  }
  counts.gaveUp++;
};

const runSender = async (): Promise<void> => {
  while (next < total) await sendOne(next++);
};

await Promise.all(Array.from({length: parallel}, runSender));
process.stdout.write(JSON.stringify(counts) + '\n');
process.exit(counts.answered === total && counts.wrong === 0 ? 0 : 1);
