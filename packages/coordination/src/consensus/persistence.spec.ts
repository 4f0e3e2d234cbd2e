import {expect} from 'chai';
import {asId, type NodeId} from '@primrosewick/state';
import {emptyState} from './core.js';
import {planWrites, restoreFiles} from './persistence.js';
import type {DurableState, Snapshot} from './types.js';

const MEMBERS = {voters: [asId<NodeId>('a~1')], learners: []};

/** Writes a snapshot and reads it back. */
const readBack = (snapshot: Snapshot): Snapshot | null => {
  const state: DurableState<string> = {...emptyState<string>(), snapshot};
  const writes = planWrites([{kind: 'snapshot', snapshot}], () => state);
  const bytes = writes.find(({file}) => file === 'snapshot')!.bytes;
  return restoreFiles<string>({snapshot: bytes}).restored.snapshot;
};

describe('files of a voter', () => {
  for (const length of [0, 1, 255, 256, 65_535, 65_536, 1_000_000])
    it(`a snapshot with ${length} bytes of state is read back`, () => {
      const data = new Uint8Array(length).fill(7);
      const read = readBack({index: 9, term: 2, members: MEMBERS, data})!;
      expect(Buffer.compare(read.data, data)).to.equal(0);
      expect(read).to.deep.include({index: 9, term: 2, members: MEMBERS});
    });
});
