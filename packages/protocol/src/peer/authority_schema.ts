/** Validates authority messages and replies received from other VMs. */
import {z} from 'zod';
import type {AuthorityMessage, AuthorityReply} from './types.js';

const vmSchema = z.string().min(1);
const epochSchema = z.int().min(0);

const shareReportSchema = z.object({
  upstream: z.string(),
  service: z.string(),
  address: z.string(),
  slots: z.int().min(0),
  connections: z.int().min(0),
  state: z.enum(['serving', 'leaving']),
  seq: z.int().min(0),
  inFlight: z.array(z.object({holder: z.string(), requests: z.int().min(0)})),
});

const handoverSchema = z.object({
  ageMs: z.number(),
  upstreams: z.array(
    z.object({
      report: shareReportSchema,
      ageMs: z.number(),
      loans: z.array(
        z.object({
          holder: z.string(),
          slots: z.int().min(0),
          leftMs: z.number(),
        }),
      ),
    }),
  ),
  holders: z.array(
    z.object({
      holder: z.string(),
      seq: z.int().min(0),
      leftMs: z.number(),
      isForeign: z.boolean(),
      wants: z.array(z.object({service: z.string(), slots: z.int().min(0)})),
    }),
  ),
});

const witnessesSchema = z.array(z.object({vm: vmSchema, boot: z.string()}));

const zoneFields = {zone: z.string()};
const epochFields = {...zoneFields, epoch: epochSchema};
const leaseFields = {...epochFields, leaseMs: z.number().positive()};

const messageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('prepare'), ...zoneFields}),
  z.object({kind: z.literal('vote'), ...leaseFields}),
  z.object({kind: z.literal('renew'), ...leaseFields}),
  z.object({
    kind: z.literal('release'),
    ...epochFields,
    why: z.discriminatedUnion('kind', [
      z.object({
        kind: z.literal('stopped'),
        handover: handoverSchema,
        witnesses: witnessesSchema.optional(),
      }),
      z.object({kind: z.literal('not_led')}),
    ]),
  }),
]);

const lastEpochSchema = z.object({
  epoch: epochSchema,
  left: z
    .object({
      succession: z.object({
        handover: handoverSchema,
        witnesses: witnessesSchema,
      }),
      heldMs: z.number(),
    })
    .optional(),
});

const replySchema = z.object({
  isGranted: z.boolean(),
  seenEpoch: epochSchema,
  leader: vmSchema.nullable(),
  boot: z.string(),
  upMs: z.number(),
  lastReign: lastEpochSchema.optional(),
});

/** Whether a message has the shape of `AuthorityMessage`. */
export const isAuthorityMessage = (
  message: unknown,
): message is AuthorityMessage => messageSchema.safeParse(message).success;

/** Whether a reply has the shape of `AuthorityReply`. */
export const isAuthorityReply = (reply: unknown): reply is AuthorityReply =>
  replySchema.safeParse(reply).success;
