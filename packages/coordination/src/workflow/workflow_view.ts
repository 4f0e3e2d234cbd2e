/** What the addresses of requests name, and the view that clients have of workflows. */
import type {
  QueueAddress,
  WorkflowReply,
  WorkflowView,
} from '@primrosewick/protocol';
import {
  CellError,
  authenticate,
  matchQueue,
  type Bundle,
  type Queue,
  type WorkflowDb,
  type WorkflowId,
  type WorkflowState,
} from '@primrosewick/state';

/** State of a workflow as shown to clients. */
export const viewOf = ({
  phase,
  hasStarted,
}: Pick<WorkflowState, 'phase' | 'hasStarted'>): WorkflowView => {
  if (phase !== 'open') return phase;
  return hasStarted ? 'running' : 'queued';
};

/** Number of open workflows of a queue without a started task. */
export const countPending = (db: WorkflowDb, {name}: Queue): number => {
  let count = 0;
  for (const {queue, hasStarted} of db.open.values())
    if (queue === name && !hasStarted) count++;
  return count;
};

/** What an address names. */
export type AddressTarget =
  | {readonly kind: 'queue'; readonly queue: Queue}
  | {readonly kind: 'workflow'; readonly workflow: WorkflowState}
  | {readonly kind: 'unknown_workflow'}
  | {readonly kind: 'unknown_queue'}
  /** The queue is known, and the caller is not. */
  | {readonly kind: 'unauthenticated'; readonly version: number};

/** Part of the state in which addresses are looked up. */
type AddressedState = Pick<WorkflowDb, 'bundle' | 'queues' | 'workflows'>;

/**
 * Whether the rest of a path lies below its queue, so that it is neither the
 * queue nor a workflow of it. Queues may be nested: the longest prefix that is
 * left matches once the inner queue has been removed.
 */
const isBelowQueue = (rest: string): boolean => rest.includes('/');

/** Whether a text is one segment of a path. */
export const isPathSegment = (text: string): boolean =>
  text !== '' && !isBelowQueue(text);

/**
 * Whether a path may be that of a workflow, whatever the queues are. One that
 * ends without an id is that of a queue, or of nothing.
 */
export const mayNameWorkflow = (path: string): boolean =>
  isPathSegment(path.slice(path.lastIndexOf('/') + 1));

/** Finds what an address names in a state. */
export const findTarget = (
  state: AddressedState,
  address: QueueAddress,
): AddressTarget => {
  const {bundle} = state;
  const match = bundle && matchQueue(bundle, address.host, address.path);
  if (!match) return {kind: 'unknown_queue'};
  const {queue, rest} = match;
  const caller = authenticate(bundle, queue, address.credential);
  if (caller.kind === 'denied')
    return {kind: 'unauthenticated', version: bundle.version};
  if (rest === '') return {kind: 'queue', queue};
  const workflow =
    state.workflows.get(rest as WorkflowId) ?? findSubmittedAt(state, address);
  if (workflow) return {kind: 'workflow', workflow};
  return {kind: isBelowQueue(rest) ? 'unknown_queue' : 'unknown_workflow'};
};

/** Queues that each bundle in use has no more, found at the first look-up. */
const removedQueues = new WeakMap<Bundle, readonly Queue[]>();

const removedQueuesOf = (
  bundle: Bundle,
  queues: WorkflowDb['queues'],
): readonly Queue[] => {
  const known = removedQueues.get(bundle);
  if (known) return known;
  const kept = new Set(bundle.queues.map(({name}) => name));
  const removed = [...queues.values()].filter(({name}) => !kept.has(name));
  removedQueues.set(bundle, removed);
  return removed;
};

/**
 * The workflow that was submitted at an address whose queue was removed since,
 * so that an outer queue has the address now.
 */
const findSubmittedAt = (
  {bundle, queues, workflows}: AddressedState,
  {host, path}: QueueAddress,
): WorkflowState | undefined => {
  if (!bundle) return undefined;
  for (const {host: ownHost, prefix} of removedQueuesOf(bundle, queues)) {
    if (ownHost !== host || !path.startsWith(prefix)) continue;
    const id = path.slice(prefix.length) as WorkflowId;
    const workflow = workflows.get(id);
    if (workflow) return workflow;
  }
  return undefined;
};

/**
 * Answers a submission whose path is not the prefix of a queue and an id: it may
 * repeat one that was accepted before its queue was removed.
 * @throws CellError `invalid_input` where the path lies directly below the queue.
 */
export const answerOddSubmission = (
  state: AddressedState,
  address: QueueAddress,
  rest: string,
): WorkflowReply => {
  if (findSubmittedAt(state, address)) return {kind: 'accepted'};
  if (isBelowQueue(rest)) return {kind: 'unknown_queue'};
  throw new CellError({
    code: 'invalid_input',
    step: 'submit',
    detail: 'what follows the prefix of the queue is not an id',
  });
};

/** The workflow that an address names; undefined if it is not known here. */
export const findWorkflow = (
  state: AddressedState,
  address: QueueAddress,
): WorkflowState | undefined => {
  const target = findTarget(state, address);
  return target.kind === 'workflow' ? target.workflow : undefined;
};

/**
 * What a state tells of a workflow, or of a queue.
 * @returns undefined before the first bundle.
 */
export const lookUp = (
  db: WorkflowDb,
  address: QueueAddress,
): WorkflowReply | undefined => {
  if (!db.bundle) return undefined;
  const {version} = db.bundle;
  const target = findTarget(db, address);
  switch (target.kind) {
    case 'queue':
      return {kind: 'pending', count: countPending(db, target.queue), version};
    case 'workflow':
      return {kind: 'state', state: viewOf(target.workflow)};
    case 'unknown_workflow':
    case 'unauthenticated':
      return target;
    case 'unknown_queue':
      return {...target, version};
  }
};
