/** Reads the bundle in force for operators. */
import type {ConfirmedReader, GatewayTask} from '@primrosewick/coordination';
import {CellError, toCellError, type Bundle} from '@primrosewick/state';
import {LogRateLimiter, type Clock} from '@primrosewick/transport';
import type Logger from 'bunyan';

/** Options of {@link BundleReader}. */
export interface BundleReaderOptions {
  /** Reads the replica of this VM, if it has one. */
  readonly reader: ConfirmedReader | null;
  readonly gateway: Pick<GatewayTask, 'callLeader'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Fraction of the time that the replica may take, so that the leader can still be asked. */
const REPLICA_TIME_FRACTION = 0.7;
/** Maximum log lines of reads in a second. */
const LINES_PER_SECOND = 5;

/** Reads the bundle from this VM's replica, so that the leader need not send it. */
export class BundleReader {
  private readonly budget = new LogRateLimiter(LINES_PER_SECOND, 1000);

  constructor(private readonly options: BundleReaderOptions) {}

  /**
   * Reads the bundle in force; a VM whose replica may not be read, or is not
   * confirmed in time, asks the leader.
   * @throws CellError `log_unavailable` when it is not certain by the deadline,
   *   a monotonic time in ms; `starting` before the first bundle.
   */
  async read(deadline: number): Promise<Bundle> {
    const {reader, clock} = this.options;
    const startedAt = clock.now();
    let way: 'copy' | 'leader' = 'copy';
    try {
      let bundle = reader?.isReadable
        ? await this.tryReplica(reader, deadline)
        : null;
      if (!bundle) {
        way = 'leader';
        bundle = await this.askLeader(deadline);
      }
      this.log({way, version: bundle.version}, startedAt);
      return bundle;
    } catch (thrown) {
      const err = toCellError(thrown, 'read-bundle');
      this.log({way, err: err.toBody()}, startedAt);
      throw err;
    }
  }

  /** Reads the replica; null if it is not confirmed with enough time left for the leader. */
  private async tryReplica(
    reader: ConfirmedReader,
    deadline: number,
  ): Promise<Bundle | null> {
    const startedAt = this.options.clock.now();
    const replicaDeadline =
      startedAt + (deadline - startedAt) * REPLICA_TIME_FRACTION;
    try {
      return await reader.readBundle(replicaDeadline);
    } catch (thrown) {
      const err = toCellError(thrown, 'read-bundle');
      this.log({way: 'copy', err: err.toBody()}, startedAt);
      return null;
    }
  }

  private async askLeader(deadline: number): Promise<Bundle> {
    const {gateway} = this.options;
    const {bundle} = await gateway.callLeader('getBundle', {}, deadline);
    if (!bundle) throw new CellError({code: 'starting', step: 'read-bundle'});
    return bundle;
  }

  private log(outcome: object, startedAt: number): void {
    const {clock, logger} = this.options;
    const now = clock.now();
    const line = this.budget.take(now);
    if (!line) return;
    const waitMs = Math.round(now - startedAt);
    logger.info(
      {decision: 'read_bundle', ...outcome, waitMs, ...line},
      'read of the bundle ended',
    );
  }
}
