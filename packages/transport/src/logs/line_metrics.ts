/** Derives metrics from log lines, so that counters and log lines always agree. */
import {Counter, Histogram, type Registry} from 'prom-client';

/** Fields of a log line that metrics are derived from. */
export interface CountedLine {
  readonly decision?: string;
  readonly change?: string;
  readonly outcome?: string;
  readonly result?: string;
  readonly reason?: string;
  readonly status?: number;
  readonly err?: {readonly code?: string};
  /** Queue of the line's subject. */
  readonly queue?: string;
  /** How long the subject of the line waited or took, in ms. */
  readonly waitMs?: number;
  /** How long the change occupied this process, in ms. */
  readonly tookMs?: number;
  /** Duration of each stage of the line's subject, in ms. */
  readonly stages?: Readonly<Record<string, number>>;
}

const WAIT_BUCKETS_MS = [
  5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000,
];

/** Raw logger stream that updates metrics from each record. */
export class LineMetrics {
  private readonly decisions: Counter<'decision' | 'outcome'>;
  private readonly changes: Counter<'change'>;
  private readonly changeDurations: Histogram<'change'>;
  private readonly waits: Histogram<'decision'>;
  private readonly stages: Histogram<'decision' | 'stage' | 'queue'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.decisions = new Counter({
      name: 'primrosewick_decisions_total',
      help: 'Decisions by kind and by outcome or reason.',
      labelNames: ['decision', 'outcome'],
      registers,
    });
    this.changes = new Counter({
      name: 'primrosewick_changes_total',
      help: 'Changes of what the process believes, by kind.',
      labelNames: ['change'],
      registers,
    });
    this.changeDurations = new Histogram({
      name: 'primrosewick_change_took_ms',
      help: 'Time for which the process was kept by a change, in ms.',
      labelNames: ['change'],
      buckets: WAIT_BUCKETS_MS,
      registers,
    });
    this.waits = new Histogram({
      name: 'primrosewick_decision_wait_ms',
      help: 'Time that the subject of a decision waited or took, in ms.',
      labelNames: ['decision'],
      buckets: WAIT_BUCKETS_MS,
      registers,
    });
    this.stages = new Histogram({
      name: 'primrosewick_stage_ms',
      help: 'Parts of the time that the subject of a decision took, in ms.',
      labelNames: ['decision', 'stage', 'queue'],
      buckets: WAIT_BUCKETS_MS,
      registers,
    });
  }

  /** Updates the metrics from one line. */
  write(line: CountedLine): void {
    if (line.change !== undefined) this.countChange(line.change, line.tookMs);
    if (line.decision === undefined) return;
    const {decision, queue = ''} = line;
    this.decisions.inc({decision, outcome: outcomeOf(line)});
    if (line.waitMs !== undefined) this.waits.observe({decision}, line.waitMs);
    for (const [stage, ms] of Object.entries(line.stages ?? {}))
      this.stages.observe({decision, stage, queue}, ms);
  }

  private countChange(change: string, tookMs: number | undefined): void {
    this.changes.inc({change});
    if (tookMs !== undefined) this.changeDurations.observe({change}, tookMs);
  }
}

const outcomeOf = ({
  outcome,
  result,
  reason,
  status,
  err,
}: CountedLine): string =>
  outcome ?? result ?? reason ?? err?.code ?? String(status ?? 'done');
