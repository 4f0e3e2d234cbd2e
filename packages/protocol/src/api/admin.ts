/** Request bodies of the operator API, and of the job API that clients use too. */
import {
  jobSpecSchema,
  nameSchema,
  profileSchema,
  serviceSchema,
  serviceStateSchema,
  type TeamName,
} from '@primrosewick/state';
import {z} from 'zod';

const MAX_AUTHOR_LENGTH = 64;
const MAX_REQUEST_ID_LENGTH = 128;
const MAX_QUOTA_CPU_MILLIS = 1_000_000_000;

/** Identifies a write; a resend with the same id gets the first response again. */
export const writeIdSchema = z.strictObject({
  author: z
    .string()
    .min(1)
    .max(MAX_AUTHOR_LENGTH)
    .describe('Operator or client that sends the write.'),
  requestId: z
    .string()
    .min(1)
    .max(MAX_REQUEST_ID_LENGTH)
    .describe('Id of the write, unique per author.'),
  firstSentAt: z
    .int()
    .min(1)
    .describe(
      'Time at which the write was first sent, in ms since the Unix epoch.',
    ),
});

const baseRevision = z
  .int()
  .min(0)
  .describe('Revision on which the change is based; 0 to create.');

/** Body of `PUT /v1/profiles/{name}`. */
export const putProfileSchema = z.strictObject({
  write: writeIdSchema,
  baseRevision,
  profile: profileSchema,
});
/** Body of `PUT /v1/services/{name}`. */
export const putServiceSchema = z.strictObject({
  write: writeIdSchema,
  baseRevision,
  service: serviceSchema,
});
/** Body of `POST /v1/services/{name}/state`. */
export const setServiceStateSchema = z.strictObject({
  write: writeIdSchema,
  state: serviceStateSchema,
});
/** Body of `PUT /v1/quotas/{team}`. */
export const setQuotaSchema = z.strictObject({
  write: writeIdSchema,
  team: nameSchema<TeamName>(),
  cpuMillis: z
    .int()
    .min(0)
    .max(MAX_QUOTA_CPU_MILLIS)
    .describe(
      'Limit on the total CPU of all running tasks, in thousandths of a core.',
    ),
});
/** Body of `POST /v1/jobs`. */
export const submitJobSchema = z.strictObject({
  write: writeIdSchema,
  spec: jobSpecSchema,
});
/** Body of `POST /v1/jobs/{id}/cancel`. */
export const cancelJobSchema = z.strictObject({write: writeIdSchema});

/** Parsed id of a write. */
export type WriteIdInput = z.output<typeof writeIdSchema>;
