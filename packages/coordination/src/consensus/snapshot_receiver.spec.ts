import {expect} from 'chai';
import {SnapshotReceiver, type SnapshotChunk} from './snapshot_receiver.js';

const CHUNK: SnapshotChunk = {
  index: 10,
  snapshotTerm: 1,
  members: {voters: [], learners: []},
  offset: 0,
  chunk: new Uint8Array(8),
  isLast: false,
};

describe('receiver of a snapshot', () => {
  it('goes on with a part that it still needs', () => {
    const receiver = new SnapshotReceiver();
    receiver.addChunk(CHUNK);
    receiver.dropUpTo(9);
    expect(receiver.nextOffset(10)).to.equal(8);
  });
  // Guards against a part of a snapshot that stays in memory once entries replaced it.
  it('drops a part that the log has passed', () => {
    const receiver = new SnapshotReceiver();
    receiver.addChunk(CHUNK);
    receiver.dropUpTo(10);
    expect(receiver.nextOffset(10)).to.equal(0);
  });
});
