/** Linearizable reads of this VM's replica; the leader gives a read index only. */
import {CellError, type Bundle} from '@primrosewick/state';
import type {ReplicaCatchUp} from './replica_catch_up.js';
import type {WorkflowReplica} from './replica.js';

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
