import type {VmId} from '@primrosewick/state';

/** Options of the record. */
export interface QuorumRecordOptions {
  /** Grantors of the zone, running or not. */
  readonly grantors: number;
  /** Time after its start during which a grantor grants nothing, in ms. */
  readonly grantDelayMs: number;
}

interface Incarnation {
  readonly vm: VmId;
  readonly startedAt: number;
  endedAt: number;
}

/** Records when a majority of a zone's grantors could grant its lease. */
export class QuorumRecord {
  private readonly incarnations: Incarnation[] = [];

  constructor(private readonly options: QuorumRecordOptions) {}

  /** Records the start of a grantor. */
  addStart(vm: VmId, at: number): void {
    this.incarnations.push({
      vm,
      startedAt: at,
      endedAt: Number.POSITIVE_INFINITY,
    });
  }

  /**
   * Records the end of a grantor; has no effect on one that has ended already.
   */
  addEnd(vm: VmId, at: number): void {
    const incarnation = this.incarnations.findLast(other => other.vm === vm);
    if (incarnation) incarnation.endedAt = Math.min(incarnation.endedAt, at);
  }

  /**
   * Whether a majority could grant the lease at every moment between two times.
   */
  hadQuorumDuring(from: number, to: number): boolean {
    const ends = this.incarnations
      .map(({endedAt}) => endedAt)
      .filter(at => at > from && at <= to);
    return [from, ...ends].every(at => this.hadQuorumAt(at));
  }

  private hadQuorumAt(at: number): boolean {
    const {grantors, grantDelayMs: silentMs} = this.options;
    const granting = this.incarnations.filter(
      ({startedAt, endedAt}) => startedAt + silentMs <= at && at < endedAt,
    );
    return granting.length > grantors / 2;
  }
}
