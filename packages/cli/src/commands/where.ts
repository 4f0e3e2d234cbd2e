import {defineCommand} from 'citty';
import {callJson} from '@primrosewick/transport';
import {readDocument} from '../client/documents.js';
import {METRICS_ARGS, metricsAddress} from '../client/metrics.js';
import {describePlacement, type PlacementReport} from '../output/placement.js';
import {printJson, runCommand} from '../output/run.js';

const CALL_TIMEOUT_MS = 8000;

/**
 * Header with the key of a customer. It is read from the environment, as
 * arguments are visible to all users of a machine.
 */
const authorization = (): Readonly<Record<string, string>> => {
  const key = process.env['PRIMROSEWICK_KEY'];
  if (!key) return {};
  // Headers are sent as Latin-1, so that the bytes of the key stay as they are.
  const text = Buffer.from(key).toString('latin1');
  return {authorization: `Bearer ${text}`};
};

/** Tells where a job would go, without sending it. */
export const whereCommand = defineCommand({
  meta: {
    name: 'where',
    description:
      'Tell where a job would go now, and why, without sending it; a customer sets PRIMROSEWICK_KEY. Example: primrosewick where job.json --queue example.org/render/',
  },
  args: {
    file: {
      type: 'positional',
      description: 'Job in JSON, in the format of clients.',
      required: true,
    },
    queue: {
      type: 'string',
      description: 'Host and prefix of the queue.',
      required: true,
    },
    ...METRICS_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const report = await callJson<PlacementReport>({
        address: metricsAddress(args.metrics),
        method: 'POST',
        path: `/where?queue=${encodeURIComponent(args.queue)}`,
        headers: authorization(),
        body: readDocument(args.file),
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (args.json) printJson(report);
      else process.stdout.write(describePlacement(report));
    }),
});
