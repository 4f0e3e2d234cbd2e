/** Settings of a VM that schedules workflows, as an entry or as a voter. */
import {nameSchema, type VmId, type ZoneId} from '@primrosewick/state';
import {z} from 'zod';
import {addressSchema} from './types.js';

const vmAddress = addressSchema.transform(text => text as VmId);

/** Schema of the settings; their types, defaults and validation are derived from it. */
export const clusterSettingsSchema = z.object({
  name: z.string().min(1).describe('Name of the VM in log lines.'),
  zone: nameSchema<ZoneId>().describe('Availability zone of the VM.'),
  peer: vmAddress.describe('Address for other VMs; it is the id of the VM.'),
  seeds: z
    .array(vmAddress)
    .min(1)
    .describe('Addresses of VMs from which the others are discovered.'),
  mayFound: z
    .boolean()
    .describe(
      'Whether the whole cell starts for the first time, so that its log may be bootstrapped.',
    ),
  dataFolder: z
    .string()
    .nullable()
    .describe('Data folder of a voter; null for an entry.'),
  toleratedVms: z
    .int()
    .min(0)
    .max(3)
    .default(1)
    .describe('Number of simultaneous voter failures to tolerate.'),
  maxLeaseMs: z
    .int()
    .min(100)
    .default(10_000)
    .describe('Longest lease that a worker accepts, in ms.'),
  announceMs: z
    .int()
    .min(10)
    .default(1500)
    .describe('Announcement interval of workers, in ms.'),
  keepEndedMs: z
    .int()
    .min(1000)
    .default(180_000)
    .describe('How long the state of an ended workflow can be queried, in ms.'),
  rateWindowMs: z
    .int()
    .min(100)
    .max(600_000)
    .default(5000)
    .describe('Sliding window of the rates of customers, in ms.'),
  rateOverage: z
    .number()
    .min(0)
    .default(0.1)
    .describe('Fraction of its rate by which a customer may exceed it.'),
  rateSlack: z
    .number()
    .min(0)
    .default(20)
    .describe(
      'Workflows per window that a customer may submit in addition to its rate.',
    ),
  mayAvoidFailed: z
    .boolean()
    .default(false)
    .describe(
      'Whether later attempts of a task avoid workers where it failed, and prefer those that finished a run of late.',
    ),
  mayShareZones: z
    .boolean()
    .default(false)
    .describe(
      'Whether the zones of callers take turns in a full pool, in proportion to what they ask for.',
    ),
  mayDeferUseless: z
    .boolean()
    .default(false)
    .describe(
      'Whether work that can no longer be useful is deferred in a bundle without customers, as it is with customers.',
    ),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('Minimum level of the log lines that are written.'),
});

/** Validated settings. */
export type ClusterSettings = z.infer<typeof clusterSettingsSchema>;
