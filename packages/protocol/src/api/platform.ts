/** Messages of the platform API, which upstreams and workers use. */
import {
  asEpoch,
  asId,
  nameSchema,
  type AttemptName,
  type Branded,
  type HolderId,
  type TaskId,
  sizeSchema,
  taskOutcomeSchema,
  type ServiceName,
  type UpstreamId,
  type WorkerId,
  type ZoneId,
} from '@primrosewick/state';
import {z} from 'zod';
import {addressSchema} from '../settings/types.js';

const MAX_ID_LENGTH = 128;

const idSchema = <T extends Branded<string, string>>() =>
  z
    .string()
    .min(1)
    .max(MAX_ID_LENGTH)
    .transform(text => asId<T>(text));

const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;
const MAX_TASKS_PER_WORKER = 10_000;

/** Announcement of an upstream, sent about once a second. */
export const upstreamAnnouncementSchema = z.strictObject({
  upstream: nameSchema<UpstreamId>().describe(
    'Id of the upstream, chosen when its process starts.',
  ),
  service: nameSchema<ServiceName>().describe(
    'Service to which the upstream belongs.',
  ),
  zone: nameSchema<ZoneId>().describe('Availability zone of the upstream.'),
  address: addressSchema.describe('Address at which it serves HTTP.'),
  slots: z
    .int()
    .min(1)
    .max(MAX_SLOTS)
    .describe('Number of requests it can serve concurrently.'),
  connections: z
    .int()
    .min(1)
    .max(MAX_CONNECTIONS)
    .describe('Number of connections it accepts.'),
  state: z
    .enum(['serving', 'leaving'])
    .describe('Whether it accepts new requests.'),
  seq: z
    .int()
    .min(0)
    .describe(
      'Sequence number; increases with each announcement of the process.',
    ),
  inFlight: z
    .array(
      z.strictObject({
        holder: idSchema<HolderId>(),
        requests: z.int().min(0).max(MAX_SLOTS),
      }),
    )
    .max(1000)
    .describe(
      'Number of requests in flight for each value of the header "primrosewick-holder".',
    ),
});

/** State of one task as its worker reports it. */
export const taskReportSchema = z.strictObject({
  task: idSchema<TaskId>().describe('Id of the task.'),
  attempt: idSchema<AttemptName>().describe('Name of the attempt.'),
  state: z
    .enum(['running', 'stopping', 'ended'])
    .describe('State of the attempt.'),
  outcome: taskOutcomeSchema.optional().describe('How the attempt ended.'),
  usedCpuMillis: z
    .int()
    .min(0)
    .default(0)
    .describe('Recent CPU use, in thousandths of a core.'),
  usedMemoryMb: z.int().min(0).default(0).describe('Memory in use, in MiB.'),
  size: sizeSchema.describe('Size with which the task was started.'),
  ranMs: z
    .int()
    .min(0)
    .default(0)
    .describe('Time since the start of the attempt, in ms.'),
});

/** Announcement of a worker, sent about once a second. */
export const workerAnnouncementSchema = z.strictObject({
  worker: nameSchema<WorkerId>().describe(
    'Id of the worker, chosen when its process starts.',
  ),
  zone: nameSchema<ZoneId>().describe('Availability zone of the worker.'),
  rack: z.string().min(1).max(64).describe('Rack of the worker.'),
  address: addressSchema.describe('Address at which it accepts orders.'),
  size: sizeSchema.describe('Capacity of the worker.'),
  state: z
    .enum(['serving', 'leaving'])
    .describe('Whether it accepts new tasks.'),
  seq: z
    .int()
    .min(0)
    .describe(
      'Sequence number; increases with each announcement of the process.',
    ),
  fence: z
    .int()
    .min(0)
    .describe(
      'Sequence number of the last announcement that was answered; the worker refuses orders with a lower "leaseSeq".',
    ),
  epoch: z
    .int()
    .min(0)
    .transform(asEpoch)
    .describe('Highest epoch of the zone that the worker has seen.'),
  tasks: z
    .array(taskReportSchema)
    .max(MAX_TASKS_PER_WORKER)
    .describe('Tasks whose end is not yet acknowledged.'),
});

/** Order to start a task, sent to a worker. */
export const startOrderSchema = z.strictObject({
  epoch: z
    .int()
    .min(1)
    .describe(
      "Epoch of the zone's leader; orders of an older epoch are refused.",
    ),
  worker: nameSchema<WorkerId>().describe(
    'Worker to which the order is addressed; a later process at the same address refuses it.',
  ),
  task: idSchema<TaskId>().describe('Id of the task.'),
  attempt: idSchema<AttemptName>().describe('Name of the attempt.'),
  command: z.string().describe('Command to run.'),
  size: sizeSchema.describe('Size of the task.'),
  leaseSeq: z
    .int()
    .min(0)
    .describe(
      'Sequence number of the announcement from whose send time the lease is counted.',
    ),
  leaseMs: z
    .int()
    .min(1)
    .describe(
      'Length of the lease in ms, from the send time of announcement "leaseSeq"; the worker must stop the task when it lapses.',
    ),
  runMs: z.int().min(1).describe('Declared run time, in ms.'),
  graceMs: z
    .int()
    .min(0)
    .describe(
      'Grace period in which the task may end after a stop order, in ms.',
    ),
});

/** Leader's reply to a worker's announcement. */
export const workerOrdersSchema = z.strictObject({
  epoch: z.int().min(1).describe("Epoch of the zone's leader."),
  leaseMs: z
    .int()
    .min(1)
    .describe(
      'Length of the lease of the tasks listed under "renewed", from the send time of the announcement, in ms.',
    ),
  renewed: z
    .array(z.string())
    .describe('Tasks whose lease is renewed, as "task#attempt".'),
  stop: z.array(z.string()).describe('Tasks to stop, as "task#attempt".'),
  acknowledged: z
    .array(z.string())
    .describe(
      'Ended tasks that need not be reported again, as "task#attempt".',
    ),
});

/** Announcement of an upstream. */
export type UpstreamAnnouncement = z.output<typeof upstreamAnnouncementSchema>;
/** Announcement of a worker. */
export type WorkerAnnouncement = z.output<typeof workerAnnouncementSchema>;
/** State of one task as its worker reports it. */
export type TaskReport = z.output<typeof taskReportSchema>;
/** Order to start a task. */
export type StartOrder = z.output<typeof startOrderSchema>;
/** Leader's reply to a worker's announcement. */
export type WorkerOrders = z.output<typeof workerOrdersSchema>;
