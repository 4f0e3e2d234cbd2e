import {expect} from 'chai';
import type {VmId} from '@primrosewick/state';
import {QuorumRecord} from './quorum_record.js';

const [A, B, C] = ['a', 'b', 'c'] as VmId[] as [VmId, VmId, VmId];

/** A record of three grantors that have run since time 0. */
const makeRecord = (): QuorumRecord => {
  const record = new QuorumRecord({grantors: 3, grantDelayMs: 100});
  for (const vm of [A, B, C]) record.addStart(vm, 0);
  return record;
};

describe('quorum record', () => {
  it('two of three grantors are a majority', () => {
    const record = makeRecord();
    record.addEnd(A, 500);
    expect(record.hadQuorumDuring(100, 9000)).to.equal(true);
  });
  it('there is no majority once a second grantor has ended', () => {
    const record = makeRecord();
    record.addEnd(A, 500);
    record.addEnd(B, 600);
    expect(record.hadQuorumDuring(100, 599)).to.equal(true);
    expect(record.hadQuorumDuring(100, 600)).to.equal(false);
  });
  it('a restarted grantor counts after its grant delay', () => {
    const record = makeRecord();
    record.addEnd(A, 500);
    record.addEnd(B, 600);
    record.addStart(B, 610);
    expect(record.hadQuorumDuring(709, 709)).to.equal(false);
    expect(record.hadQuorumDuring(710, 9000)).to.equal(true);
  });
  it('a second end of the same grantor has no effect', () => {
    const record = makeRecord();
    record.addEnd(A, 500);
    record.addEnd(B, 600);
    record.addEnd(B, 900);
    expect(record.hadQuorumDuring(700, 700)).to.equal(false);
  });
});
