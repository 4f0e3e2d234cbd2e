import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Subject} from 'rxjs';
import type {Clock} from '../tasks/clock.js';
import {
  LAG_THRESHOLD_MS,
  LagDetector,
  SAMPLE_INTERVAL_MS,
  REPORT_INTERVAL_MS,
  type LagReport,
} from './lag_detector.js';
import {EventLoopLagMonitor} from './lag_monitor.js';
import {WorkMeter} from './work_meter.js';

const sampleAt = (now: number, cpuMs = 0, busyMs = 0) => ({now, cpuMs, busyMs});

/** Reports for samples at the given times. */
const reportsAt = (times: readonly number[]): Array<[number, LagReport]> => {
  const detector = new LagDetector(sampleAt(0));
  return times.flatMap(now => {
    const {report} = detector.addSample(sampleAt(now));
    return report ? [[now, report] as [number, LagReport]] : [];
  });
};
/** Times of samples without lag, up to a time. */
const onTime = (from: number, to: number): number[] => {
  const times: number[] = [];
  for (let now = from; now <= to; now += SAMPLE_INTERVAL_MS) times.push(now);
  return times;
};

describe('LagDetector', () => {
  it('reports nothing below the lag threshold', () => {
    expect(reportsAt(onTime(SAMPLE_INTERVAL_MS, 20_000))).to.eql([]);
    const nearly = SAMPLE_INTERVAL_MS + LAG_THRESHOLD_MS - 1;
    expect(reportsAt([nearly, 2 * nearly, 3 * nearly])).to.eql([]);
  });
  it('reports a lagging sample at once, for the period since the previous sample', () => {
    const detector = new LagDetector(sampleAt(0));
    detector.addSample(sampleAt(100, 40, 60));
    const {lateMs, report} = detector.addSample(sampleAt(1100, 50, 1050));
    expect(lateMs).to.equal(900);
    expect(report).to.eql({
      lateMs: 900,
      totalMs: 900,
      overMs: 1000,
      cpuMs: 10,
      busyMs: 990,
    });
  });
  it('includes the time by kind of work in the report', () => {
    const detector = new LagDetector({...sampleAt(0), work: {pass: 5}});
    detector.addSample({...sampleAt(100), work: {pass: 9, line: 1}});
    const {report} = detector.addSample({
      ...sampleAt(1100),
      work: {pass: 809, line: 31, gc: 160},
    });
    expect(report?.work).to.eql({pass: 800, line: 30, gc: 160});
  });
  it('reports constant lag once per interval and counts every sample', () => {
    const times: number[] = [];
    for (let now = 400; now <= 30_000; now += 400) times.push(now);
    const reports = reportsAt(times);
    expect(reports.map(([at]) => at)).to.eql([
      400, 5600, 10_800, 16_000, 21_200, 26_400,
    ]);
    expect(reports[1]![1]).to.include({
      lateMs: 300,
      totalMs: 13 * 300,
      overMs: 5200,
    });
  });
  it('reports lag that follows a report at the end of the interval', () => {
    const reports = reportsAt([500, 1000, ...onTime(1100, 12_000)]);
    expect(reports.map(([at]) => at)).to.eql([500, 500 + REPORT_INTERVAL_MS]);
    expect(reports[1]![1]).to.include({
      lateMs: 400,
      overMs: REPORT_INTERVAL_MS,
    });
  });
});

describe('EventLoopLagMonitor', () => {
  it('updates the counter of work time when metrics are collected', async () => {
    const registry = new Registry();
    const meter = new WorkMeter();
    new EventLoopLagMonitor({
      clock: {now: () => 0, every: () => new Subject()} as unknown as Clock,
      registry,
      meter,
      onLag: () => undefined,
    });
    meter.add('pass', 40);
    await registry.metrics();
    meter.add('pass', 2);
    meter.add('gc', 7);
    const text = await registry.metrics();
    expect(text).to.contain('primrosewick_work_ms_total{kind="pass"} 42');
    expect(text).to.contain('primrosewick_work_ms_total{kind="gc"} 7');
  });
  it('observes samples in the histogram until it is stopped', async () => {
    const ticks = new Subject<void>();
    const registry = new Registry();
    const reports: LagReport[] = [];
    let now = 0;
    const monitor = new EventLoopLagMonitor({
      clock: {now: () => now, every: () => ticks} as unknown as Clock,
      registry,
      onLag: lateness => reports.push(lateness),
    });
    monitor.start();
    for (const at of [100, 200, 650]) {
      now = at;
      ticks.next();
    }
    monitor.stop();
    ticks.next();
    const text = await registry.metrics();
    expect(text).to.contain('primrosewick_late_ms_bucket{le="2"} 2');
    expect(text).to.contain('primrosewick_late_ms_bucket{le="500"} 3');
    expect(text).to.contain('primrosewick_late_ms_count 3');
    expect(reports.map(({lateMs}) => lateMs)).to.eql([350]);
  });
});
