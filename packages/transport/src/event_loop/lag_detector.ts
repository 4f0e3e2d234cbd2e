/** Judges how late a process is, from samples that a timer takes. */
import {diffWorkTimes, type WorkTimes} from './work_meter.js';

/** Interval of the samples, in ms. */
export const SAMPLE_INTERVAL_MS = 100;
/** Lateness from which a line tells of it, in ms: a copy of the log is old after little more. */
export const LAG_THRESHOLD_MS = 200;
/** Shortest time between two lines, in ms. */
export const REPORT_INTERVAL_MS = 5000;

/** One look at the clocks of a process. */
export interface EventLoopSample {
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Processor time that all threads of the process have used, in ms. */
  readonly cpuMs: number;
  /** Time for which the event loop has run something, in ms. */
  readonly busyMs: number;
  /** Time of each kind of work, in ms, where it is measured. */
  readonly work?: WorkTimes;
}

/** How late a process was over a time. */
export interface LagReport {
  /** The latest sample, in ms. */
  readonly lateMs: number;
  /** Sum over all samples, in ms. */
  readonly totalMs: number;
  readonly overMs: number;
  /** Processor time that all threads used in that time, in ms. */
  readonly cpuMs: number;
  /** Time for which the event loop ran something, in ms; without processor time it was kept from running. */
  readonly busyMs: number;
  /** Time of each kind of work, in ms; what is left of `busyMs` is not measured. */
  readonly work?: WorkTimes;
}

/**
 * Sums up samples. A sample that is too late is told at once; those that follow
 * are gathered for a while and told together.
 */
export class LagDetector {
  private spanBegan: EventLoopSample;
  private heldUntil = Number.NEGATIVE_INFINITY;
  private longestMs = 0;
  private totalMs = 0;

  constructor(private last: EventLoopSample) {
    this.spanBegan = last;
  }

  /** Takes a sample; @returns how late it was, and what is to be told. */
  addSample(sample: EventLoopSample): {
    readonly lateMs: number;
    readonly told?: LagReport;
  } {
    const dueAt = this.last.now + SAMPLE_INTERVAL_MS;
    const lateMs = Math.max(0, sample.now - dueAt);
    this.last = sample;
    this.longestMs = Math.max(this.longestMs, lateMs);
    this.totalMs += lateMs;
    if (sample.now < this.heldUntil) return {lateMs};
    const told = this.longestMs >= LAG_THRESHOLD_MS && this.sumUp(sample);
    this.begin(sample);
    if (!told) return {lateMs};
    this.heldUntil = sample.now + REPORT_INTERVAL_MS;
    return {lateMs, told};
  }

  private sumUp({now, cpuMs, busyMs, work}: EventLoopSample): LagReport {
    return {
      lateMs: Math.round(this.longestMs),
      totalMs: Math.round(this.totalMs),
      overMs: Math.round(now - this.spanBegan.now),
      cpuMs: Math.round(cpuMs - this.spanBegan.cpuMs),
      busyMs: Math.round(busyMs - this.spanBegan.busyMs),
      ...(work && {work: diffWorkTimes(this.spanBegan.work ?? {}, work)}),
    };
  }

  private begin(sample: EventLoopSample): void {
    this.spanBegan = sample;
    this.longestMs = 0;
    this.totalMs = 0;
  }
}
