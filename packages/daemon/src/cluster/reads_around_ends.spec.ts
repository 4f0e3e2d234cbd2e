import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Subject} from 'rxjs';
import type {WorkflowEnd, WorkflowId} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {ReadsAroundEnds, makeEndCounter} from './reads_around_ends.js';

const END: WorkflowEnd = {
  id: 'a' as WorkflowId,
  queue: 'q' as never,
  phase: 'done',
  acceptedAt: 1000,
  endedAt: 2000,
  dueAt: 1900,
};

const makeReads = (isReady = true) => {
  const time = {now: 0};
  const registry = new Registry();
  const replica = {ended: new Subject<WorkflowEnd>(), isReady};
  const clock = {now: () => time.now} as unknown as Clock;
  const lines: object[] = [];
  const logger = {info: (line: object) => lines.push(line)} as never;
  const reads = new ReadsAroundEnds({replica, clock, logger, registry});
  return {time, registry, replica, reads, lines};
};

describe('reads around ends', () => {
  it('a read 41 ms before an end, and the next one 220 ms after it, are observed', async () => {
    const {time, registry, replica, reads} = makeReads();
    reads.noteRead(END.id, false);
    time.now = 41;
    replica.ended.next(END);
    time.now = 261;
    reads.noteRead(END.id, true);
    time.now = 900;
    reads.noteRead(END.id, true);
    const text = await registry.metrics();
    expect(text).to.contain(
      'primrosewick_read_before_end_ms_sum{queue="q"} 41',
    );
    expect(text).to.contain('primrosewick_end_told_ms_sum{queue="q"} 220');
    expect(text).to.contain('primrosewick_end_told_ms_count{queue="q"} 1');
  });
  it('a line every 10 s sums up the ends of a queue', () => {
    const {time, replica, reads, lines} = makeReads();
    reads.noteRead(END.id, false);
    time.now = 9800;
    reads.noteRead(END.id, false);
    time.now = 9841;
    replica.ended.next(END);
    time.now = 10_061;
    reads.noteRead(END.id, true);
    expect(lines).to.eql([
      {
        change: 'reads_around_ends',
        queue: 'q',
        ends: 1,
        readJustBefore: 1,
        told: 1,
        toldAfterMs: 220,
      },
    ]);
  });
  it('an end that is replayed from the data folder is not observed', async () => {
    const {registry, replica, reads} = makeReads(false);
    replica.ended.next(END);
    reads.noteRead(END.id, true);
    expect(await registry.metrics()).to.not.contain('queue="q"');
  });
  it('an end after its due time is counted as late', async () => {
    const registry = new Registry();
    makeEndCounter(registry)(END);
    expect(await registry.metrics()).to.contain(
      'primrosewick_workflows_ended_total{queue="q",outcome="done",in_time="false"} 1',
    );
  });
});
