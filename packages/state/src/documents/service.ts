/** Services: long-running upstreams that serve requests under a profile. */
import {z} from 'zod';
import type {ProfileName, ServiceName} from '../ids/types.js';
import {nameSchema} from './names.js';

/** A service as an operator writes it. */
export const serviceSchema = z.strictObject({
  name: nameSchema<ServiceName>().describe('Name of the service.'),
  profile: nameSchema<ProfileName>().describe(
    'Profile the service runs under.',
  ),
});

/** Whether a service accepts requests. */
export const serviceStateSchema = z.enum(['running', 'draining', 'stopped']);

/** A service as an operator writes it. */
export type Service = z.output<typeof serviceSchema>;
/** Whether a service accepts requests. */
export type ServiceState = z.output<typeof serviceStateSchema>;
