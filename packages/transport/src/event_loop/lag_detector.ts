/** Computes event loop lag from samples taken by a timer. */
import {diffWorkTimes, type WorkTimes} from './work_meter.js';

/** Interval of the samples, in ms. */
export const SAMPLE_INTERVAL_MS = 100;
/**
 * Lag from which a report is made, in ms; a replica of the log is stale after
 * little more.
 */
export const LAG_THRESHOLD_MS = 200;
/** Minimum interval between two reports, in ms. */
export const REPORT_INTERVAL_MS = 5000;

/** One reading of the clocks of a process. */
export interface EventLoopSample {
  /** Monotonic time, in ms. */
  readonly now: number;
  /** CPU time of all threads of the process, in ms. */
  readonly cpuMs: number;
  /** Time for which the event loop was active, in ms. */
  readonly busyMs: number;
  /** Total time by kind of work, in ms, if it is measured. */
  readonly work?: WorkTimes;
}

/** Event loop lag over a reporting period. */
export interface LagReport {
  /** Largest lag of a sample, in ms. */
  readonly lateMs: number;
  /** Sum of the lag of all samples, in ms. */
  readonly totalMs: number;
  /** Length of the period, in ms. */
  readonly overMs: number;
  /** CPU time of all threads in the period, in ms. */
  readonly cpuMs: number;
  /**
   * Time for which the event loop was active, in ms; if `cpuMs` is much less,
   * the process was not scheduled.
   */
  readonly busyMs: number;
  /**
   * Time by kind of work in the period, in ms; the rest of `busyMs` is not
   * attributed.
   */
  readonly work?: WorkTimes;
}

/**
 * Aggregates samples into reports. The first sample that lags too much is
 * reported at once; those that follow are collected for `REPORT_INTERVAL_MS` and
 * reported together.
 */
export class LagDetector {
  private periodStart: EventLoopSample;
  private nextReportAt = Number.NEGATIVE_INFINITY;
  private longestMs = 0;
  private totalMs = 0;

  constructor(private last: EventLoopSample) {
    this.periodStart = last;
  }

  /** Adds a sample; @returns its lag in ms, and a report if one is due. */
  addSample(sample: EventLoopSample): {
    readonly lateMs: number;
    readonly report?: LagReport;
  } {
    const dueAt = this.last.now + SAMPLE_INTERVAL_MS;
    const lateMs = Math.max(0, sample.now - dueAt);
    this.last = sample;
    this.longestMs = Math.max(this.longestMs, lateMs);
    this.totalMs += lateMs;
    if (sample.now < this.nextReportAt) return {lateMs};
    const report =
      this.longestMs >= LAG_THRESHOLD_MS && this.makeReport(sample);
    this.startPeriod(sample);
    if (!report) return {lateMs};
    this.nextReportAt = sample.now + REPORT_INTERVAL_MS;
    return {lateMs, report};
  }

  private makeReport({now, cpuMs, busyMs, work}: EventLoopSample): LagReport {
    return {
      lateMs: Math.round(this.longestMs),
      totalMs: Math.round(this.totalMs),
      overMs: Math.round(now - this.periodStart.now),
      cpuMs: Math.round(cpuMs - this.periodStart.cpuMs),
      busyMs: Math.round(busyMs - this.periodStart.busyMs),
      ...(work && {work: diffWorkTimes(this.periodStart.work ?? {}, work)}),
    };
  }

  private startPeriod(sample: EventLoopSample): void {
    this.periodStart = sample;
    this.longestMs = 0;
    this.totalMs = 0;
  }
}
