/**
 * Answers questions about workflows from this VM's copy of the log. Load
 * pattern: every client asks for the state of its work again and again, several
 * times as often as work is handed in; asked of the leader, each question costs
 * it a call and a round to a majority.
 */
import type {QueueAddress, WorkflowReply} from '@primrosewick/protocol';
import {matchQueue, type WorkflowId} from '@primrosewick/state';
import type {WorkflowReplica} from './replica.js';
import {countPending, viewOf} from './workflow_view.js';

/** Options of the reader. */
export interface ReplicaReaderOptions {
  readonly replica: WorkflowReplica;
  /** Age of the copy: time since the leader last told of its commits, in ms. */
  readonly ageMs: () => number;
}

/** Age from which the copy answers nothing, in ms: two heartbeats of the log. */
const MAX_AGE_MS = 250;

/** Reads the copy of one VM. */
export class ReplicaReader {
  constructor(private readonly options: ReplicaReaderOptions) {}

  /** Whether the copy may be shown now. */
  get isFresh(): boolean {
    const {replica, ageMs} = this.options;
    return replica.isReady && ageMs() <= MAX_AGE_MS;
  }

  /**
   * State of a workflow, or the number of those that wait.
   * @returns undefined where only the leader can tell: that nothing is known
   *   here does not mean that nothing was accepted.
   */
  read({host, path}: QueueAddress): WorkflowReply | undefined {
    const {db} = this.options.replica;
    if (!this.isFresh || !db.bundle) return undefined;
    const match = matchQueue(db.bundle, host, path);
    if (!match) return undefined;
    if (match.rest === '')
      return {kind: 'pending', count: countPending(db, match.queue)};
    const workflow = db.workflows.get(match.rest as WorkflowId);
    return workflow && {kind: 'state', state: viewOf(workflow)};
  }
}
