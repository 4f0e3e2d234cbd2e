import {CellError, type TimedNote, type VmId} from '@primrosewick/state';
import {expect} from 'chai';
import {collectNotes} from './explanation.js';

const VMS = ['a', 'b', 'c'] as VmId[];

const noteAt = (at: number): TimedNote =>
  ({at, subject: 'job-1', reason: 'r'}) as TimedNote;

describe('explanation', () => {
  // Guards against notes of silent VMs that are taken for none.
  it('names the VMs that did not answer', async () => {
    const found = await collectNotes(VMS, async vm => {
      if (vm === 'b')
        throw new CellError({code: 'peer_unreachable', step: 'call'});
      return [noteAt(vm === 'a' ? 2 : 1)];
    });
    expect(found.notes.map(({vm, at}) => [vm, at])).to.eql([
      ['c', 1],
      ['a', 2],
    ]);
    expect(found.unanswered.map(({vm, error}) => [vm, error.code])).to.eql([
      ['b', 'peer_unreachable'],
    ]);
  });
});
