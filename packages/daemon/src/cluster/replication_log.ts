/** Lines and gauges about the replication of the log at one VM. */
import {
  isFarBehind,
  type BatchCost,
  type Compaction,
  type FailedCall,
  type LogSize,
  type MemberLag,
} from '@primrosewick/coordination';
import type Logger from 'bunyan';
import {vmOfNode, type NodeId, type VmId} from '@primrosewick/state';
import {LogRateLimiter, type Clock} from '@primrosewick/transport';
import {Gauge, type Registry} from 'prom-client';

/** Interval of lines about the log at the leader, in ms. */
const REPORT_INTERVAL_MS = 2000;
/** Lines of one kind about messages in that time. */
const MESSAGE_LINES = 2;
/** Time from which a member that is silent or far behind is reported, in ms. */
const BEHIND_MS = 1000;

/** Options of {@link ReplicationLog}. */
export interface ReplicationLogOptions {
  readonly logger: Logger;
  readonly clock: Clock;
  /** Registry of the gauges; there are none without it. */
  readonly registry?: Registry;
}

/** What a leader reports of its log. */
export interface LeaderReport {
  /** Cost of the batches since the last report; null if there were none. */
  readonly cost: BatchCost | null;
  readonly lags: readonly MemberLag[];
  readonly size: LogSize;
  /** Age of the last proof of the leadership, in ms. */
  readonly confirmedMs: number;
}

/** Writes the lines, a bounded number each, and sets the gauges. */
export class ReplicationLog {
  /** Monotonic time from which the leader reports again, in ms. */
  private reportDueAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time since which each member has lacked entries, in ms. */
  private readonly behindSince = new Map<NodeId, number>();
  private readonly malformedBudget = new LogRateLimiter(
    MESSAGE_LINES,
    REPORT_INTERVAL_MS,
  );
  private readonly failedBudget = new LogRateLimiter(
    MESSAGE_LINES,
    REPORT_INTERVAL_MS,
  );
  private readonly gauges: ReplicationGauges | null;

  constructor(private readonly options: ReplicationLogOptions) {
    this.gauges = options.registry
      ? new ReplicationGauges(options.registry)
      : null;
  }

  /** Logs messages of another VM that were left out. */
  logMalformed(peer: VmId, count: number): void {
    const line = this.malformedBudget.take(this.options.clock.now());
    if (!line) return;
    this.options.logger.error(
      {change: 'messages_malformed', peer, count, ...line},
      'left out messages of another VM that are not of the log',
    );
  }

  /** Logs a call with messages that failed. */
  logFailedCall({vm, err, messages, bytes}: FailedCall): void {
    const line = this.failedBudget.take(this.options.clock.now());
    if (!line) return;
    this.options.logger.info(
      {
        change: 'messages_failed',
        peer: vm,
        messages,
        bytes,
        err: err.toBody(),
        ...line,
      },
      'a call with messages of the log failed; they are sent again',
    );
  }

  /** Logs a snapshot that replaced entries. */
  logCompaction({tookMs, writeMs, ...facts}: Compaction): void {
    const times = {tookMs: Math.round(tookMs), writeMs: Math.round(writeMs)};
    this.options.logger.info(
      {change: 'compacted', ...facts, ...times},
      'log compacted: entries replaced by a snapshot',
    );
  }

  /** Sets the gauges of the size of the log. */
  noteSize(size: LogSize): void {
    this.gauges?.setSize(size);
  }

  /** Logs what a leader's log costs and which members are behind, if that is due. */
  reportWhenDue(makeReport: () => LeaderReport): void {
    const now = this.options.clock.now();
    if (now < this.reportDueAt) return;
    this.reportDueAt = now + REPORT_INTERVAL_MS;
    const {cost, lags, size, confirmedMs} = makeReport();
    if (cost)
      this.options.logger.info(
        {
          change: 'log_load',
          ...cost,
          confirmedMs: Math.round(confirmedMs),
          ...size,
        },
        'cost of the log at the leader',
      );
    this.reportLags(lags, now);
  }

  /** Forgets the members, as this VM no longer leads. */
  endLeadership(): void {
    this.behindSince.clear();
    this.gauges?.setLags([]);
  }

  private reportLags(lags: readonly MemberLag[], now: number): void {
    this.gauges?.setLags(lags);
    const behind = lags.filter(lag => isFarBehind(lag) || isSilent(lag));
    const members = new Set(behind.map(({member}) => member));
    for (const member of this.behindSince.keys())
      if (!members.has(member)) this.behindSince.delete(member);
    for (const lag of behind) this.reportLag(lag, now);
  }

  private reportLag(
    {member, silentMs, ...facts}: MemberLag,
    now: number,
  ): void {
    const since = this.behindSince.get(member) ?? now;
    this.behindSince.set(member, since);
    if (now - since < BEHIND_MS) return;
    this.options.logger.info(
      {
        change: 'member_behind',
        peer: vmOfNode(member),
        member,
        ...facts,
        silentMs: Math.round(silentMs),
        behindMs: Math.round(now - since),
      },
      'a member of the log lacks committed entries',
    );
  }
}

const isSilent = ({silentMs}: MemberLag): boolean => silentMs >= BEHIND_MS;

/** Gauges of the log and of the members behind it. */
class ReplicationGauges {
  private readonly logBytes: Gauge;
  private readonly snapshotBytes: Gauge;
  private readonly behindBytes: Gauge<'member'>;
  private readonly behindEntries: Gauge<'member'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.logBytes = new Gauge({
      name: 'primrosewick_log_bytes',
      help: 'Approximate size of the log entries after the snapshot, in bytes.',
      registers,
    });
    this.snapshotBytes = new Gauge({
      name: 'primrosewick_snapshot_bytes',
      help: 'Size of the state in the last snapshot, in bytes.',
      registers,
    });
    this.behindBytes = new Gauge({
      name: 'primrosewick_member_behind_bytes',
      help: 'Size of the log entries that a member lacks, at the leader, in bytes.',
      labelNames: ['member'],
      registers,
    });
    this.behindEntries = new Gauge({
      name: 'primrosewick_member_behind_entries',
      help: 'Log entries that a member lacks, at the leader.',
      labelNames: ['member'],
      registers,
    });
  }

  setSize({bytes, snapshotBytes}: LogSize): void {
    this.logBytes.set(bytes);
    this.snapshotBytes.set(snapshotBytes);
  }

  /** Sets the gauges of the members that are behind; others have none. */
  setLags(lags: readonly MemberLag[]): void {
    this.behindBytes.reset();
    this.behindEntries.reset();
    for (const {member, bytes, entries} of lags) {
      this.behindBytes.set({member}, bytes);
      this.behindEntries.set({member}, entries);
    }
  }
}
