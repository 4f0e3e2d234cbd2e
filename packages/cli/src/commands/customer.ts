import {defineCommand} from 'citty';
import type {CustomerReport, Resources} from '@primrosewick/state';
import {callJson} from '@primrosewick/transport';
import {UsageError} from '../client/api.js';
import {printJson, runCommand} from '../output/run.js';
import {formatTable} from '../output/table.js';

const CALL_TIMEOUT_MS = 8000;

const METRICS_ARGS = {
  metrics: {
    type: 'string',
    description:
      'Metrics address of a voter; defaults to PRIMROSEWICK_METRICS.',
  },
  json: {type: 'boolean', description: 'Print JSON.'},
} as const;

/** @throws UsageError when no address is given. */
const getJson = <T>(metrics: string | undefined, path: string): Promise<T> => {
  const address = metrics ?? process.env['PRIMROSEWICK_METRICS'];
  if (!address)
    throw new UsageError(
      'no voter given: use --metrics ADDRESS or set PRIMROSEWICK_METRICS',
    );
  return callJson<T>({
    address,
    method: 'GET',
    path,
    timeoutMs: CALL_TIMEOUT_MS,
  });
};

const HEADINGS = [
  'CUSTOMER',
  'PRIORITY',
  'WEIGHT',
  'KEYS',
  'CPU',
  'MEMORY',
  'GPUS',
  'WAITING',
  'RUNNING',
];

/** What is used of one resource, and its cap if there is one. */
const describeUse = (
  {used, cap}: CustomerReport,
  resource: keyof Resources,
): string =>
  cap[resource] > 0
    ? `${used[resource]}/${cap[resource]}`
    : String(used[resource]);

const rowOf = (customer: CustomerReport): string[] => [
  customer.isInForce ? customer.name : `${customer.name} (dropped)`,
  String(customer.priority),
  String(customer.weight),
  String(customer.keyCount),
  describeUse(customer, 'cpuMillis'),
  describeUse(customer, 'memMb'),
  describeUse(customer, 'gpus'),
  String(customer.waiting),
  String(customer.running),
];

const printTable = (customers: readonly CustomerReport[]): void =>
  void process.stdout.write(formatTable(HEADINGS, customers.map(rowOf)));

const list = defineCommand({
  meta: {
    name: 'list',
    description:
      'List all customers with what they use. Example: primrosewick customer list',
  },
  args: METRICS_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const reply = await getJson<{customers: CustomerReport[]}>(
        args.metrics,
        '/customers',
      );
      if (args.json) printJson(reply);
      else printTable(reply.customers);
    }),
});

const show = defineCommand({
  meta: {
    name: 'show',
    description:
      'Show one customer with what it uses. Example: primrosewick customer show acme',
  },
  args: {
    name: {
      type: 'positional',
      description: 'Name of the customer.',
      required: true,
    },
    ...METRICS_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const reply = await getJson<{customer: CustomerReport}>(
        args.metrics,
        `/customers/${encodeURIComponent(args.name)}`,
      );
      if (args.json) printJson(reply);
      else printTable([reply.customer]);
    }),
});

/** Commands for customers; they show no keys. */
export const customerCommand = defineCommand({
  meta: {name: 'customer', description: 'Show customers and their usage.'},
  subCommands: {list, show},
});
