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
const toldAt = (times: readonly number[]): Array<[number, LagReport]> => {
  const core = new LagDetector(sampleAt(0));
  return times.flatMap(now => {
    const {told} = core.addSample(sampleAt(now));
    return told ? [[now, told] as [number, LagReport]] : [];
  });
};
/** Times of samples without lag, up to a time. */
const onTime = (from: number, to: number): number[] => {
  const times: number[] = [];
  for (let now = from; now <= to; now += SAMPLE_INTERVAL_MS) times.push(now);
  return times;
};

describe('lateness', () => {
  it('a process that is on time is not told of', () => {
    expect(toldAt(onTime(SAMPLE_INTERVAL_MS, 20_000))).to.eql([]);
    const nearly = SAMPLE_INTERVAL_MS + LAG_THRESHOLD_MS - 1;
    expect(toldAt([nearly, 2 * nearly, 3 * nearly])).to.eql([]);
  });
  it('a late sample is told at once, with the time since the one before', () => {
    const core = new LagDetector(sampleAt(0));
    core.addSample(sampleAt(100, 40, 60));
    const {lateMs, told} = core.addSample(sampleAt(1100, 50, 1050));
    expect(lateMs).to.equal(900);
    expect(told).to.eql({
      lateMs: 900,
      totalMs: 900,
      overMs: 1000,
      cpuMs: 10,
      busyMs: 990,
    });
  });
  it('what the time of a late process went to is told with it', () => {
    const core = new LagDetector({...sampleAt(0), work: {pass: 5}});
    core.addSample({...sampleAt(100), work: {pass: 9, line: 1}});
    const {told} = core.addSample({
      ...sampleAt(1100),
      work: {pass: 809, line: 31, gc: 160},
    });
    expect(told?.work).to.eql({pass: 800, line: 30, gc: 160});
  });
  it('a process that is always late is told of once in an interval, and nothing is left out', () => {
    const times: number[] = [];
    for (let now = 400; now <= 30_000; now += 400) times.push(now);
    const told = toldAt(times);
    expect(told.map(([at]) => at)).to.eql([
      400, 5600, 10_800, 16_000, 21_200, 26_400,
    ]);
    expect(told[1]![1]).to.include({
      lateMs: 300,
      totalMs: 13 * 300,
      overMs: 5200,
    });
  });
  it('a late sample soon after a line is told when the interval is over', () => {
    const told = toldAt([500, 1000, ...onTime(1100, 12_000)]);
    expect(told.map(([at]) => at)).to.eql([500, 500 + REPORT_INTERVAL_MS]);
    expect(told[1]![1]).to.include({lateMs: 400, overMs: REPORT_INTERVAL_MS});
  });
});

describe('watch of the event loop', () => {
  it('the time of each kind of work is counted as it is when it is asked for', async () => {
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
  it('samples go into the histogram, and ends with its stop', async () => {
    const ticks = new Subject<void>();
    const registry = new Registry();
    const told: LagReport[] = [];
    let now = 0;
    const watch = new EventLoopLagMonitor({
      clock: {now: () => now, every: () => ticks} as unknown as Clock,
      registry,
      onLag: lateness => told.push(lateness),
    });
    watch.start();
    for (const at of [100, 200, 650]) {
      now = at;
      ticks.next();
    }
    watch.stop();
    ticks.next();
    const text = await registry.metrics();
    expect(text).to.contain('primrosewick_late_ms_bucket{le="2"} 2');
    expect(text).to.contain('primrosewick_late_ms_bucket{le="500"} 3');
    expect(text).to.contain('primrosewick_late_ms_count 3');
    expect(told.map(({lateMs}) => lateMs)).to.eql([350]);
  });
});
