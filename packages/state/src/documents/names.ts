import {z} from 'zod';
import type {Branded} from '../ids/types.js';

/** Maximum length of a name of a document, VM or zone, in characters. */
export const MAX_NAME_LENGTH = 64;

const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/;

/**
 * Schema of a name: lower-case letters, digits, dots, dashes and underscores.
 * @returns a schema whose output carries the brand `T`.
 */
export const nameSchema = <T extends Branded<string, string>>() =>
  z
    .string()
    .min(1)
    .max(MAX_NAME_LENGTH)
    .regex(NAME_PATTERN, 'must be lower-case letters, digits, ".", "_" or "-"')
    .transform(text => text as T);
