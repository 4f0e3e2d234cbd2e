import {expect} from 'chai';
import {describeCutList, describeSilentVms} from './gaps.js';

describe('gaps in answers', () => {
  it('a list that is cut off says so, a whole one does not', () => {
    const list = {total: 1200, what: 'jobs'};
    expect(describeCutList({...list, shown: 1000})).to.equal(
      'the latest 1000 of 1200 jobs are shown\n',
    );
    expect(describeCutList({...list, shown: 1200})).to.equal('');
  });
  it('VMs that did not answer are named', () => {
    expect(describeSilentVms([{vm: 'a'}, {vm: 'b'}])).to.contain('a, b');
    expect(describeSilentVms([])).to.equal('');
    expect(describeSilentVms(undefined)).to.equal('');
  });
});
