/**
 * Schema of the daemon's settings. Their types, defaults, validation and
 * reference page are all derived from it.
 */
import {isIPv4, isIPv6} from 'node:net';
import {
  nameSchema,
  type CellId,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {z} from 'zod';

const MAX_PORT = 65_535;

/** Whether a text is an IP address with a port, such as `10.0.0.1:7000`. */
export const isAddress = (text: string): boolean => {
  const at = text.lastIndexOf(':');
  const host = text.slice(0, at).replace(/^\[(.*)\]$/, '$1');
  const port = Number(text.slice(at + 1));
  const isPort = Number.isInteger(port) && port >= 1 && port <= MAX_PORT;
  return at > 0 && isPort && (isIPv4(host) || isIPv6(host));
};

/** Schema of an IP address with a port. */
export const addressSchema = z
  .string()
  .refine(isAddress, 'must be an IP address and a port, such as 10.0.0.1:7000');

const milliseconds = (defaultMs: number, description: string) =>
  z
    .int()
    .min(1)
    .max(3_600_000)
    .default(defaultMs)
    .describe(`${description}, in ms.`);

const count = (defaultValue: number, description: string) =>
  z.int().min(1).max(100_000_000).default(defaultValue).describe(description);

const listenSchema = z
  .strictObject({
    client: addressSchema.describe('Address for clients.'),
    platform: addressSchema.describe('Address for upstreams and workers.'),
    operator: addressSchema.describe(
      'Address for operators, metrics and health.',
    ),
    peer: addressSchema.describe('Address for other daemons.'),
  })
  .describe('Addresses the daemon listens on.');

const vmSchema = z.strictObject({
  vm: nameSchema<VmId>().describe('Name of the VM.'),
  zone: nameSchema<ZoneId>().describe('Availability zone of the VM.'),
  peer: addressSchema.describe('Address of its daemon for other daemons.'),
  disk: z
    .boolean()
    .default(false)
    .describe('Whether the VM has a disk and votes on the cell log.'),
});

const limitsSchema = z
  .strictObject({
    headerBytes: count(
      16_384,
      'Maximum size of the HTTP headers of a request, in bytes.',
    ),
    bodyBytes: count(1_048_576, 'Maximum size of a request body, in bytes.'),
    answerBytes: count(
      4_194_304,
      'Maximum size of a response of an upstream, in bytes.',
    ),
    bodyMs: milliseconds(10_000, 'Time limit for a request body to arrive'),
    requests: count(2000, 'Maximum number of requests held at once.'),
    connections: count(
      4000,
      'Maximum number of open connections per listen address.',
    ),
    proposals: count(
      1000,
      'Maximum number of writes waiting for the cell log.',
    ),
    journalBytes: count(
      4_194_304,
      'Journal kept in memory for each decision core, in bytes.',
    ),
  })
  .prefault({})
  .describe('Limits on what any caller can send and on what the daemon holds.');

const timingSchema = z
  .strictObject({
    heartbeatMs: milliseconds(500, 'Heartbeat interval of the cell log'),
    electionMs: milliseconds(1500, 'Minimum election timeout of the cell log'),
    zoneLeaseMs: milliseconds(3000, "Length of a zone leader's lease"),
    zoneRenewMs: milliseconds(
      800,
      'Interval at which a zone leader renews its lease',
    ),
    shareMs: milliseconds(
      3000,
      'Length of the lease of a share of upstream slots',
    ),
    shareSyncMs: milliseconds(
      500,
      'Interval at which an entry renews its shares',
    ),
    announceMs: milliseconds(
      5000,
      'Time after which a silent upstream or worker is dropped',
    ),
    taskLeaseMs: milliseconds(15_000, "Length of a task's lease at its worker"),
    proposeMs: milliseconds(5000, 'Time limit of a write to the cell log'),
    stopMs: milliseconds(20_000, 'Time limit of a shutdown'),
  })
  .prefault({})
  .describe('Intervals and lease lengths.');

/** Schema of the settings file. */
export const settingsSchema = z
  .strictObject({
    cell: nameSchema<CellId>().describe(
      'Name of the cell; daemons of other cells are refused.',
    ),
    vm: nameSchema<VmId>().describe('Name of this VM.'),
    dataFolder: z
      .string()
      .min(1)
      .optional()
      .describe(
        'Folder for the state of a voter; required where the VM has a disk.',
      ),
    operatorTokenFile: z
      .string()
      .min(1)
      .describe("File with the operators' token."),
    listen: listenSchema,
    vms: z
      .array(vmSchema)
      .min(1)
      .max(500)
      .describe('All VMs of the cell, this one included.'),
    limits: limitsSchema,
    timing: timingSchema,
    logLevel: z
      .enum(['debug', 'info', 'warn', 'error'])
      .default('info')
      .describe('Minimum severity of the log lines that are written.'),
  })
  .describe('Settings of one daemon.');

/** Settings of one daemon. */
export type Settings = z.output<typeof settingsSchema>;
/** Settings as they are written in the file, where defaults may be omitted. */
export type SettingsInput = z.input<typeof settingsSchema>;
/** One VM of the cell. */
export type VmSettings = Settings['vms'][number];
