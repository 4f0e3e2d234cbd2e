import bunyan from 'bunyan';
import {expect} from 'chai';
import {CellError, asId, type NodeId, type VmId} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {Registry} from 'prom-client';
import {ReplicationLog, type LeaderReport} from './replication_log.js';

const PEER = asId<VmId>('127.0.0.1:7440');
const LAG = {
  member: asId<NodeId>(`${PEER}~1`),
  entries: 120,
  bytes: 12_000_000,
  sending: 'entries' as const,
  inFlight: 120,
  snapshotOffset: 0,
  snapshotBytes: 0,
  silentMs: 1,
};
const REPORT: LeaderReport = {
  cost: null,
  lags: [LAG],
  size: {entries: 130, bytes: 13_000_000, snapshotIndex: 0, snapshotBytes: 0},
  confirmedMs: 3,
};

const makeLog = () => {
  const lines: Array<Record<string, unknown>> = [];
  const registry = new Registry();
  let now = 0;
  const log = new ReplicationLog({
    logger: bunyan.createLogger({
      name: 'spec',
      streams: [
        {
          type: 'raw',
          stream: {write: (line: object) => lines.push({...line})} as never,
        },
      ],
    }),
    clock: {...systemClock, now: () => now},
    registry,
  });
  return {log, lines, registry, pass: (ms: number) => (now += ms)};
};

describe('lines about replication', () => {
  it('a member that stays behind is told with its bytes, and is a gauge', async () => {
    const {log, lines, registry, pass} = makeLog();
    log.reportWhenDue(() => REPORT);
    expect(lines).to.have.length(0);
    pass(2000);
    log.reportWhenDue(() => REPORT);
    expect(lines[0]).to.include({
      change: 'member_behind',
      peer: PEER,
      entries: 120,
      bytes: 12_000_000,
      behindMs: 2000,
    });
    const metric = `primrosewick_member_behind_bytes{member="${LAG.member}"} 12000000`;
    expect(await registry.metrics()).to.contain(metric);
    pass(2000);
    log.reportWhenDue(() => ({...REPORT, lags: []}));
    expect(lines).to.have.length(1);
    expect(await registry.metrics()).to.not.contain('{member=');
  });
  it('a member that keeps up is not told, a silent one is', () => {
    const {log, lines, pass} = makeLog();
    const near = {...LAG, entries: 2, bytes: 900};
    for (let i = 0; i < 3; i++) {
      log.reportWhenDue(() => ({...REPORT, lags: [near]}));
      pass(2000);
    }
    expect(lines).to.have.length(0);
    for (let i = 0; i < 2; i++) {
      log.reportWhenDue(() => ({...REPORT, lags: [{...near, silentMs: 5000}]}));
      pass(2000);
    }
    expect(lines).to.have.length(1);
  });
  it('calls that fail are told with their bytes, a few in 2 s', () => {
    const {log, lines, pass} = makeLog();
    const err = new CellError({code: 'peer_unreachable', step: 'consensus'});
    const call = {vm: PEER, err, messages: 2, bytes: 9_000_000};
    for (let i = 0; i < 10; i++) log.logFailedCall(call);
    expect(lines).to.have.length(2);
    expect(lines[0]).to.include({change: 'messages_failed', bytes: 9_000_000});
    pass(2000);
    log.logFailedCall(call);
    expect(lines[2]).to.include({skipped: 8});
  });
});
