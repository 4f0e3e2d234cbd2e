import type {VmId} from '@primrosewick/state';

/** Options of the record. */
export interface QuorumRecordOptions {
  /** Grantors of the zone, running or not. */
  readonly grantors: number;
  /** Time after its start during which a grantor grants nothing, in ms. */
  readonly grantDelayMs: number;
}

interface Life {
  readonly vm: VmId;
  readonly startedAt: number;
  endedAt: number;
}

/** Records when a majority of a zone's grantors could grant its lease. */
export class QuorumRecord {
  private readonly lives: Life[] = [];

  constructor(private readonly options: QuorumRecordOptions) {}

  /** Records the start of a grantor. */
  addStart(vm: VmId, at: number): void {
    this.lives.push({vm, startedAt: at, endedAt: Number.POSITIVE_INFINITY});
  }

  /**
   * Records the end of a grantor; has no effect on one that has ended already.
   */
  addEnd(vm: VmId, at: number): void {
    const life = this.lives.findLast(other => other.vm === vm);
    if (life) life.endedAt = Math.min(life.endedAt, at);
  }

  /**
   * Whether a majority could grant the lease at every moment between two times.
   */
  hadQuorumDuring(from: number, to: number): boolean {
    const ends = this.lives
      .map(({endedAt}) => endedAt)
      .filter(at => at > from && at <= to);
    return [from, ...ends].every(at => this.isWholeAt(at));
  }

  private isWholeAt(at: number): boolean {
    const {grantors, grantDelayMs: silentMs} = this.options;
    const able = this.lives.filter(
      ({startedAt, endedAt}) => startedAt + silentMs <= at && at < endedAt,
    );
    return able.length > grantors / 2;
  }
}
