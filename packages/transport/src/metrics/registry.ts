import {REASON_CODES, type ReasonCode} from '@primrosewick/state';
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

/** Reasons for a retry. */
export const RETRY_REASONS = [
  'unreachable',
  'lost_idempotent',
  'refused_by_upstream',
  'proposal',
  'task_failed',
  'task_lost',
] as const;
/** Reason for a retry. */
export type RetryReason = (typeof RETRY_REASONS)[number];

/** Reasons for dropping a received message. */
export const DROP_REASONS = ['late_answer', 'wrong_identity'] as const;
/** Reason for dropping a received message. */
export type DropReason = (typeof DROP_REASONS)[number];

/** Resolution at which event loop lag is sampled, in ms. */
const EVENT_LOOP_SAMPLE_MS = 1000;

const WAIT_BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000,
];

/** Metrics of one daemon. */
export class Metrics {
  readonly registry = new Registry();
  private readonly refusals: Counter<'code' | 'step'>;
  private readonly retries: Counter<'reason'>;
  private readonly drops: Counter<'reason'>;
  private readonly peerBytes: Counter<'scope' | 'direction'>;
  private readonly waits: Histogram<'class'>;
  private readonly answers: Counter<'class'>;
  private readonly changes: Counter<'kind'>;
  private readonly gauges = new Map<string, Gauge>();

  constructor() {
    const registers = [this.registry];
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
    });
    this.refusals = new Counter({
      name: 'primrosewick_refusals_total',
      help: 'Refusals by reason code and step.',
      labelNames: ['code', 'step'],
      registers,
    });
    this.retries = new Counter({
      name: 'primrosewick_retries_total',
      help: 'Attempts that followed another, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.drops = new Counter({
      name: 'primrosewick_drops_total',
      help: 'Messages left unused, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.peerBytes = new Counter({
      name: 'primrosewick_peer_bytes_total',
      help: 'Bytes of messages between daemons, within and across zones.',
      labelNames: ['scope', 'direction'],
      registers,
    });
    this.waits = new Histogram({
      name: 'primrosewick_request_wait_ms',
      help: 'Time from the arrival of a request to its dispatch, by class, in ms.',
      labelNames: ['class'],
      buckets: WAIT_BUCKETS_MS,
      registers,
    });
    this.answers = new Counter({
      name: 'primrosewick_answers_total',
      help: 'Answers of upstreams passed on, by class.',
      labelNames: ['class'],
      registers,
    });
    this.changes = new Counter({
      name: 'primrosewick_state_changes_total',
      help: 'Changes of role, leadership and membership, by kind.',
      labelNames: ['kind'],
      registers,
    });
    for (const code of REASON_CODES) this.refusals.inc({code, step: 'all'}, 0);
    for (const reason of RETRY_REASONS) this.retries.inc({reason}, 0);
    for (const reason of DROP_REASONS) this.drops.inc({reason}, 0);
  }

  /** Counts a refusal. */
  addRefusal(code: ReasonCode, step: string): void {
    this.refusals.inc({code, step});
  }

  /** Counts a retry. */
  addRetry(reason: RetryReason): void {
    this.retries.inc({reason});
  }

  /** Counts a dropped message. */
  addDrop(reason: DropReason): void {
    this.drops.inc({reason});
  }

  /** Counts bytes exchanged between daemons. */
  addPeerBytes(
    scope: 'in_zone' | 'cross_zone',
    direction: 'sent' | 'received',
    bytes: number,
  ): void {
    this.peerBytes.inc({scope, direction}, bytes);
  }

  /** Records the time from the arrival of a request to its dispatch, in ms. */
  addWait(cls: string, waitMs: number): void {
    this.waits.observe({class: cls}, waitMs);
  }

  /** Counts an upstream's response that was forwarded to the client. */
  addAnswer(cls: string): void {
    this.answers.inc({class: cls});
  }

  /** Counts a change of role, leadership or membership. */
  addChange(kind: string): void {
    this.changes.inc({kind});
  }

  /** Sets the gauge `primrosewick_NAME`, registering it on first use. */
  setGauge(name: string, help: string, value: number): void {
    const known = this.gauges.get(name);
    const gauge =
      known ??
      new Gauge({
        name: `primrosewick_${name}`,
        help,
        registers: [this.registry],
      });
    this.gauges.set(name, gauge);
    gauge.set(value);
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
