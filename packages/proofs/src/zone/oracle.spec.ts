import {expect} from 'chai';
import {CellError, type ReasonCode} from '@primrosewick/state';
import {ZoneOracle, type ClientRecord, type WaitInterval} from './oracle.js';

const RUN_AT = 5600;
const DEADLINE = 6000;
const WAIT: WaitInterval = {from: 0, to: RUN_AT};

const makeClientRecord = (id: string, isIdempotent: boolean): ClientRecord => ({
  id,
  isIdempotent,
  key: undefined,
  entry: 'a0.1',
  sentAt: 0,
  deadline: DEADLINE,
});

/**
 * An oracle that recorded an answer after `tookMs`, and then a request that
 * failed with an unknown outcome.
 */
const makeOracle = (
  code: ReasonCode,
  isIdempotent: boolean,
  tookMs: number,
): ZoneOracle => {
  const oracle = new ZoneOracle();
  const [before, refused] = ['q1', 'q2'].map(id =>
    makeClientRecord(id, isIdempotent),
  );
  for (const record of [before!, refused!]) oracle.addRequest(record);
  oracle.addRun('q1', 'up0', 100);
  oracle.addAnswer(before!, 'q1', 100 + tookMs);
  oracle.addRun('q2', 'up0', RUN_AT);
  const err = new CellError({code, outcome: 'unknown', step: 'test'});
  oracle.addRefusal(refused!, err);
  return oracle;
};

describe('zone oracle', () => {
  it('an idempotent request may time out after an allowed wait', () => {
    const waits: WaitInterval[] = [];
    const oracle = makeOracle('upstream_timeout', true, 400);
    expect(oracle.findLost(wait => waits.push(wait) > 0)).to.eql([]);
    expect(waits).to.eql([WAIT]);
  });
  it('a timeout after any other wait counts as a loss', () => {
    const oracle = makeOracle('upstream_timeout', true, 400);
    expect(oracle.findLost(() => false)).to.eql(['q2 (upstream_timeout)']);
  });
  it('a timeout of a request whose run began too late counts as a loss', () => {
    const oracle = makeOracle('upstream_timeout', true, 401);
    expect(oracle.findLost(() => true)).to.eql(['q2 (upstream_timeout)']);
  });
  it('a timeout of a request that is not idempotent counts as a loss', () => {
    const oracle = makeOracle('upstream_timeout', false, 400);
    expect(oracle.findLost(() => true)).to.eql(['q2 (upstream_timeout)']);
  });
  it('a broken connection counts as a loss after any wait', () => {
    for (const code of ['upstream_lost', 'client_gone'] as const) {
      const oracle = makeOracle(code, true, 400);
      expect(oracle.findLost(() => true)).to.eql([`q2 (${code})`]);
    }
  });
});
