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
  .refine(isAddress, 'must be an IP number and a port, such as 10.0.0.1:7000');

const milliseconds = (fallback: number, meaning: string) =>
  z
    .int()
    .min(1)
    .max(3_600_000)
    .default(fallback)
    .describe(`${meaning}, in ms.`);

const count = (fallback: number, meaning: string) =>
  z.int().min(1).max(100_000_000).default(fallback).describe(meaning);

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
    .describe('Whether the VM has a disk and is a voter of the cell log.'),
});

const limitsSchema = z
  .strictObject({
    headerBytes: count(16_384, 'Largest HTTP header, in bytes.'),
    bodyBytes: count(1_048_576, 'Largest request body, in bytes.'),
    answerBytes: count(4_194_304, 'Largest answer of an upstream, in bytes.'),
    bodyMs: milliseconds(10_000, 'Time a body may take to arrive'),
    requests: count(2000, 'Requests held at once.'),
    connections: count(
      4000,
      'Connections accepted at once, for each listen address.',
    ),
    proposals: count(1000, 'Writes that may wait for the cell log at once.'),
    journalBytes: count(
      4_194_304,
      'Bytes of journal kept in memory for each decision core.',
    ),
  })
  .prefault({})
  .describe('Bounds on what a stranger can send and on what is held.');

const timingSchema = z
  .strictObject({
    heartbeatMs: milliseconds(500, 'Interval of heartbeats of the cell log'),
    electionMs: milliseconds(1500, 'Shortest election timeout of the cell log'),
    zoneLeaseMs: milliseconds(3000, "Length of a zone leader's lease"),
    zoneRenewMs: milliseconds(
      800,
      'Interval at which a zone leader renews its lease',
    ),
    shareMs: milliseconds(3000, 'Length of a share of upstream slots'),
    shareSyncMs: milliseconds(
      500,
      'Interval at which an entry renews its shares',
    ),
    announceMs: milliseconds(
      5000,
      'Time after which a silent upstream or worker is dropped',
    ),
    taskLeaseMs: milliseconds(15_000, "Length of a task's lease at its worker"),
    proposeMs: milliseconds(5000, 'Time a write to the cell log may take'),
    stopMs: milliseconds(20_000, 'Time a shutdown may take'),
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
      .describe("File that holds the operators' token."),
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
      .describe('Least severe log line written.'),
  })
  .describe('Settings of one daemon.');

/** Settings of one daemon. */
export type Settings = z.output<typeof settingsSchema>;
/** Settings as they are written in the file, where defaults may be omitted. */
export type SettingsInput = z.input<typeof settingsSchema>;
/** One VM of the cell. */
export type VmSettings = Settings['vms'][number];
