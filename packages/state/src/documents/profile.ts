/**
 * Profiles: how work of one kind is placed, queued and stopped.
 */
import {z} from 'zod';
import type {ProfileName} from '../ids/types.js';
import {nameSchema} from './names.js';

/** Maximum of a deadline, a grace period or a backoff, in ms. */
export const MAX_DURATION_MS = 7 * 24 * 60 * 60 * 1000;

const durationMs = () => z.int().min(0).max(MAX_DURATION_MS);

/** How tasks are placed on workers. */
export const placingSchema = z
  .discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('pack').describe('Fill used workers before empty ones.'),
    }),
    z.strictObject({
      kind: z.literal('spread').describe('Keep tasks of one job apart.'),
      over: z
        .enum(['worker', 'rack'])
        .describe('What the tasks are spread over.'),
    }),
  ])
  .describe('How tasks are placed.');

/** One class of requests and the bound of its queue. */
export const requestClassSchema = z.strictObject({
  name: z
    .string()
    .min(1)
    .max(64)
    .describe('Name of the class, a metric label.'),
  pathPrefix: z
    .string()
    .startsWith('/')
    .max(256)
    .describe('Requests whose path starts with this belong to the class.'),
  priority: z
    .int()
    .min(0)
    .max(9)
    .describe('Classes with a higher number are served first.'),
  deadlineMs: durationMs()
    .min(1)
    .describe(
      'Time a request may take when the client states no deadline, in ms.',
    ),
  queueBound: z
    .int()
    .min(0)
    .max(10_000)
    .describe('Requests of the class that may wait at one VM.'),
});

/** How requests of a service wait for a slot. */
export const waitingSchema = z
  .strictObject({
    classes: z
      .array(requestClassSchema)
      .min(1)
      .max(16)
      .describe('Classes; the longest matching path prefix wins.'),
    spill: z
      .discriminatedUnion('kind', [
        z.strictObject({
          kind: z.literal('never').describe('Requests stay in their zone.'),
        }),
        z.strictObject({
          kind: z
            .literal('when_faster')
            .describe('Requests may go to another zone.'),
          marginMs: durationMs().describe(
            'Gain in expected wait that makes another zone worth its traffic, in ms.',
          ),
        }),
      ])
      .describe('Whether a request may be served by another zone.'),
  })
  .describe('How requests wait.');

/** How a task is stopped and whether it may run again. */
export const stoppingSchema = z
  .strictObject({
    graceMs: durationMs().describe(
      'Time a task has to end after it is told to stop, in ms.',
    ),
    checkpoint: z
      .boolean()
      .describe('Whether a task can save its progress when it stops.'),
    repeat: z
      .discriminatedUnion('kind', [
        z.strictObject({
          kind: z
            .literal('again')
            .describe('A failed or lost attempt is followed by another.'),
          maxAttempts: z
            .int()
            .min(1)
            .max(100)
            .describe('Attempts of one task, the first included.'),
          backoffMs: durationMs().describe(
            'Delay before the second attempt, in ms; doubled for each later one.',
          ),
        }),
        z.strictObject({
          kind: z
            .literal('at_most_once')
            .describe('A task whose end is not known is reported as unknown.'),
        }),
      ])
      .describe('Whether a task may run again.'),
  })
  .describe('How work is stopped.');

/** A profile as an operator writes it. */
export const profileSchema = z
  .strictObject({
    name: nameSchema<ProfileName>().describe('Name of the profile.'),
    placing: placingSchema,
    waiting: waitingSchema,
    stopping: stoppingSchema,
  })
  .refine(hasDistinctClasses, {
    message: 'class names and path prefixes must differ',
    path: ['waiting', 'classes'],
  });

/** A profile as an operator writes it. */
export type Profile = z.output<typeof profileSchema>;
/** One class of requests. */
export type RequestClass = z.output<typeof requestClassSchema>;

function hasDistinctClasses(profile: {
  waiting: {classes: Array<{name: string; pathPrefix: string}>};
}): boolean {
  const classes = profile.waiting.classes;
  const names = new Set(classes.map(cls => cls.name));
  const prefixes = new Set(classes.map(cls => cls.pathPrefix));
  return names.size === classes.length && prefixes.size === classes.length;
}

/**
 * Finds the class of a request.
 * @param profile - the profile of the service.
 * @param path - the path of the request below the service.
 * @returns the class with the longest matching prefix, or undefined.
 */
export const classOfPath = (
  profile: Profile,
  path: string,
): RequestClass | undefined => {
  const matching = profile.waiting.classes.filter(cls =>
    path.startsWith(cls.pathPrefix),
  );
  return matching.reduce<RequestClass | undefined>(
    (best, cls) =>
      best && best.pathPrefix.length >= cls.pathPrefix.length ? best : cls,
    undefined,
  );
};
