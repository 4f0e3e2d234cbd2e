/** Measures the time of records of the log, and counts submissions refused for it. */
import {
  RecordLoadTask,
  type RecordLoadOptions,
} from '@primrosewick/coordination';
import {systemClock} from '@primrosewick/transport';
import type Logger from 'bunyan';
import {Counter, Histogram, type Registry} from 'prom-client';

const RECORD_BUCKETS_MS = [10, 20, 50, 100, 200, 500, 1000, 2000, 5000];

/** @returns the observers of a {@link RecordLoadTask}. */
export const makeRecordObservers = (
  registry: Registry,
): Required<Pick<RecordLoadOptions, 'onRecorded' | 'onRefused'>> => {
  const registers = [registry];
  const times = new Histogram({
    name: 'primrosewick_record_ms',
    help: 'Time from the proposal of a record until it is applied at the leader, in ms.',
    buckets: RECORD_BUCKETS_MS,
    registers,
  });
  const refused = new Counter({
    name: 'primrosewick_records_slow_refused_total',
    help: 'Submissions refused because records take too long, by queue.',
    labelNames: ['queue'],
    registers,
  });
  return {
    onRecorded: tookMs => times.observe(tookMs),
    onRefused: queue => refused.inc({queue}),
  };
};

/** Makes the task that measures the records of this VM while it leads. */
export const makeRecordLoad = (
  {logger, registry}: {readonly logger: Logger; readonly registry: Registry},
  seed: number,
): RecordLoadTask =>
  new RecordLoadTask({
    clock: systemClock,
    logger,
    seed,
    ...makeRecordObservers(registry),
  });
