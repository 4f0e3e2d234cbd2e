/** Monitors the event loop lag of this process. */
import {Counter, Histogram, type Registry} from 'prom-client';
import type {Subscription} from 'rxjs';
import type {Clock} from '../tasks/clock.js';
import {
  LagDetector,
  SAMPLE_INTERVAL_MS,
  type LagReport,
  type EventLoopSample,
} from './lag_detector.js';
import type {WorkKind, WorkMeter, WorkTimes} from './work_meter.js';

/** Options of `EventLoopLagMonitor`. */
export interface EventLoopLagMonitorOptions {
  readonly clock: Clock;
  readonly registry: Registry;
  /** Reads the CPU and event loop usage so far; defaults to that of this process. */
  readonly usage?: () => Omit<EventLoopSample, 'now'>;
  /** Meter of the work that the event loop spends its time on. */
  readonly meter?: WorkMeter;
  /** Called with a report when the lag reaches `LAG_THRESHOLD_MS`. */
  readonly onLag: (lateness: LagReport) => void;
}

const LAG_BUCKETS_MS = [2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];
const MICROS_PER_MS = 1000;

/** Samples the event loop lag into a histogram and reports excessive lag. */
export class EventLoopLagMonitor {
  private readonly histogram: Histogram;
  private timer: Subscription | undefined;

  constructor(private readonly options: EventLoopLagMonitorOptions) {
    this.histogram = new Histogram({
      name: 'primrosewick_late_ms',
      help: 'How late the event loop took a sample that is due every 100 ms, in ms.',
      buckets: LAG_BUCKETS_MS,
      registers: [options.registry],
    });
    if (options.meter) registerWorkCounter(options.meter, options.registry);
  }

  /** Starts sampling. */
  start(): void {
    const {clock, onLag: onLate} = this.options;
    const detector = new LagDetector(this.sample());
    this.timer = clock.every(SAMPLE_INTERVAL_MS).subscribe(() => {
      const {lateMs, report} = detector.addSample(this.sample());
      this.histogram.observe(lateMs);
      if (report) onLate(report);
    });
  }

  /** Stops sampling. */
  stop(): void {
    this.timer?.unsubscribe();
  }

  private sample(): EventLoopSample {
    const {clock, usage = processUsage, meter} = this.options;
    const work = meter && {work: meter.times};
    return {now: clock.now(), ...usage(), ...work};
  }
}

/**
 * Registers a counter of the time by kind of work, which is updated when
 * metrics are collected.
 */
const registerWorkCounter = (meter: WorkMeter, registry: Registry): void => {
  let reported: WorkTimes = {};
  new Counter({
    name: 'primrosewick_work_ms_total',
    help: 'Time for which each kind of work kept the event loop, in ms.',
    labelNames: ['kind'],
    registers: [registry],
    collect() {
      const {times} = meter;
      for (const [kind, ms] of Object.entries(times))
        this.inc({kind}, Math.max(0, ms - (reported[kind as WorkKind] ?? 0)));
      reported = times;
    },
  });
};

const processUsage = (): Omit<EventLoopSample, 'now'> => {
  const {user, system} = process.cpuUsage();
  return {
    cpuMs: (user + system) / MICROS_PER_MS,
    busyMs: performance.eventLoopUtilization().active,
  };
};
