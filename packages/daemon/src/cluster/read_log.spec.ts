import {expect} from 'chai';
import type Logger from 'bunyan';
import {Registry} from 'prom-client';
import {CellError} from '@primrosewick/state';
import {ReadLog, type CompletedRead} from './read_log.js';

const err = new CellError({code: 'log_outcome_unknown', step: 'workflow'});

/** A read log with its lines captured. */
const makeLog = () => {
  const lines: Array<Record<string, unknown>> = [];
  const registry = new Registry();
  const logger = {
    info: (line: Record<string, unknown>) => lines.push(line),
  } as unknown as Logger;
  const log = new ReadLog(logger, registry);
  const note = (part: Partial<CompletedRead>): void =>
    log.record({
      path: '/q/a',
      way: 'copy',
      peer: null,
      endedAt: 0,
      waitMs: 4,
      copyMs: 4,
      ...part,
    });
  return {lines, log, note, registry};
};

describe('read log', () => {
  it('each read is counted by the source of its answer and the reason', async () => {
    const {note, registry, lines} = makeLog();
    note({});
    note({way: 'copy_behind', waitMs: 30});
    note({way: 'no_contact', waitMs: 600, err});
    const text = await registry.metrics();
    expect(text).to.contain(
      'reads_total{source="copy",reason="copy",outcome="answered"} 1',
    );
    expect(text).to.contain(
      'reads_total{source="leader",reason="copy_behind",outcome="answered"} 1',
    );
    expect(text).to.contain(
      'reads_total{source="leader",reason="no_contact",outcome="failed"} 1',
    );
    expect(text).to.contain('read_ms_bucket{le="50",source="leader"} 1');
    expect(lines.map(({outcome}) => outcome)).to.eql(['failed']);
  });
  it('a read that failed or was slow is logged with its path', () => {
    const {note, lines} = makeLog();
    note({way: 'copy_failed', waitMs: 1700, copyMs: 300, err});
    note({path: '/q/b', waitMs: 1200, copyMs: 1200});
    expect(lines[0]).to.deep.include({
      req: '/q/a',
      way: 'copy_failed',
      outcome: 'failed',
      waitMs: 1700,
      copyMs: 300,
    });
    expect(lines[1]).to.deep.include({req: '/q/b', outcome: 'slow'});
  });
  it('lines of reads are rate-limited, and skipped lines are counted', () => {
    const {note, lines} = makeLog();
    for (let i = 0; i < 200; i++) note({err, endedAt: i});
    expect(lines).to.have.length(10);
    note({err, endedAt: 1000});
    expect(lines.at(-1)).to.include({skipped: 190});
  });
  it('a summary of the reads is logged every 10 s', () => {
    const {note, lines} = makeLog();
    for (let at = 0; at < 20_000; at += 100)
      note({way: at % 200 === 0 ? 'copy' : 'no_reader', endedAt: at});
    expect(lines).to.eql([
      {
        change: 'reads',
        ways: {copy: 51, no_reader: 50},
        confirmed: 0,
        failed: 0,
        held: 0,
        outdated: 0,
        longestMs: 4,
        overMs: 10_000,
      },
    ]);
  });
  it('counts that waited for earlier ones are in the next summary, and in the metrics', async () => {
    const {log, note, lines, registry} = makeLog();
    log.recordHeld({heldMs: 30, isOutdated: false});
    log.recordHeld({heldMs: 600, isOutdated: true});
    for (const endedAt of [0, 10_000, 20_000]) note({endedAt});
    const counts = lines.map(({held, outdated}) => [held, outdated]);
    expect(counts).to.eql([
      [2, 1],
      [0, 0],
    ]);
    const text = await registry.metrics();
    expect(text).to.contain('held_ms_sum{outcome="kept"} 30');
    expect(text).to.contain('held_ms_sum{outcome="outdated"} 600');
  });
});
