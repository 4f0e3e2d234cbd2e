/** Linearizable reads of this VM's replica; the leader gives a read index only. */
import type {LinkMethods, QueueAddress} from '@primrosewick/protocol';
import {CellError, type Bundle} from '@primrosewick/state';
import type {ReplicaCatchUp} from './replica_catch_up.js';
import type {WorkflowReplica} from './replica.js';
import {lookUp} from './workflow_view.js';

/** Options of {@link ConfirmedReader}. */
export interface ConfirmedReaderOptions {
  readonly replica: WorkflowReplica;
  readonly catchUp: Pick<ReplicaCatchUp, 'reach'>;
}

/** Reads the replica of one VM after the leader confirmed how far it has to be. */
export class ConfirmedReader {
  constructor(private readonly options: ConfirmedReaderOptions) {}

  /** Whether there is a replica that may be read. */
  get isReadable(): boolean {
    return this.options.replica.isReady;
  }

  /**
   * The bundle in force at some time after the call, read until a deadline of
   * the monotonic clock in ms.
   * @throws CellError `log_unavailable` when that is not certain, `starting`
   *   before the first bundle.
   */
  async readBundle(deadline: number): Promise<Bundle> {
    await this.catchUp(deadline);
    const {bundle} = this.options.replica.db;
    if (!bundle) throw new CellError({code: 'starting', step: 'read-bundle'});
    return bundle;
  }

  /**
   * Reads the state of a workflow, or the number of pending ones of a queue. A
   * workflow or queue that is missing is said to be unknown: nothing that was
   * acknowledged before the call is missing here.
   * @throws CellError like {@link readBundle}.
   */
  async readWorkflow(
    address: QueueAddress,
    deadline: number,
  ): Promise<LinkMethods['readConfirmed']['reply']> {
    await this.catchUp(deadline);
    const {db, index} = this.options.replica;
    const answer = lookUp(db, address);
    if (!answer) throw new CellError({code: 'starting', step: 'find-queue'});
    return {answer, index};
  }

  private async catchUp(deadline: number): Promise<void> {
    if (!this.isReadable)
      throw new CellError({
        code: 'log_unavailable',
        step: 'confirmed-read',
        detail: 'the replica may not be read yet',
      });
    await this.options.catchUp.reach(deadline);
  }
}
