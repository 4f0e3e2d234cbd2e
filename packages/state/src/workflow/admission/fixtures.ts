/** Test bundles and submissions with customers. */
import type {Bundle, Customer, Queue} from '../../bundle/types.js';
import {testSpec, testStep} from '../fixtures.js';
import type {WorkflowCommand} from '../commands.js';
import type {WorkflowSpec} from '../types.js';

/** Part of a bundle with customers, given their weights by name. */
export const customerBundle = (
  weights: Readonly<Record<string, number>>,
  queues?: readonly Queue[],
): Partial<Bundle> => ({
  ...(queues && {queues}),
  customers: Object.entries(weights).map(([name, weight]): Customer => ({
    name: name as never,
    keyDigests: [],
    priority: 0,
    weight,
    cap: {cpuMillis: 0, memMb: 0, gpus: 0},
  })),
});

/** Record of a submission, by default of one task of one second. */
export const submitOf = (
  id: string,
  {
    spec = testSpec([testStep()]),
    queue = 'queue',
    at = 1000,
    ...origin
  }: {
    readonly spec?: WorkflowSpec;
    readonly queue?: string;
    readonly at?: number;
    readonly customer?: string;
    readonly zone?: string;
    readonly isBeyondRate?: boolean;
  },
): WorkflowCommand =>
  ({kind: 'submit', id, queue, spec, at, ...origin}) as WorkflowCommand;
