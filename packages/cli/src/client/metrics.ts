/** The metrics address of a voter, which commands query. */
import {UsageError} from './api.js';

/** Arguments of commands that query one voter. */
export const METRICS_ARGS = {
  metrics: {
    type: 'string',
    description:
      'Metrics address of a voter; defaults to PRIMROSEWICK_METRICS.',
  },
  json: {type: 'boolean', description: 'Print JSON.'},
} as const;

/** @throws UsageError when no address is given. */
export const metricsAddress = (given: string | undefined): string => {
  const address = given ?? process.env['PRIMROSEWICK_METRICS'];
  if (address) return address;
  throw new UsageError(
    'no voter given: use --metrics ADDRESS or set PRIMROSEWICK_METRICS',
  );
};
