import {expect} from 'chai';
import {proofOf} from './core.js';
import type {EndEvidence} from './types.js';

const kindOf = (evidence: EndEvidence) => proofOf(evidence)?.kind;
const CALLED = '10.0.0.1:80';

describe('proof of the end of a run', () => {
  it('a start that was not executed proves that its run never began', () => {
    expect(kindOf({kind: 'start_refused'})).to.equal('not_started');
    expect(kindOf({kind: 'start_not_sent'})).to.equal('not_started');
    expect(kindOf({kind: 'not_listed'})).to.equal('not_started');
  });
  it('silence proves nothing before the lease has lapsed', () => {
    const silence = {kind: 'silence', lapseAt: 100} as const;
    expect(kindOf({...silence, now: 99})).to.equal(undefined);
    expect(kindOf({...silence, now: 100})).to.equal('lease_lapsed');
  });
  it('another answer is proof only at the address where the runs were started', () => {
    const answer = {kind: 'other_answer', calledAddress: CALLED} as const;
    expect(kindOf({...answer, runsAddress: CALLED})).to.equal('replaced');
    expect(kindOf({...answer, runsAddress: '10.0.0.2:80'})).to.equal(undefined);
    expect(kindOf({...answer, runsAddress: undefined})).to.equal(undefined);
  });
  // Guards against TWICE: words about a worker were taken for the end of its runs.
  it('words prove nothing', () => {
    expect(kindOf({kind: 'goodbye'})).to.equal(undefined);
    expect(kindOf({kind: 'other_announced'})).to.equal(undefined);
  });
});
