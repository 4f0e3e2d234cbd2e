import {expect} from 'chai';
import {BatchLoad} from './batch_load.js';

describe('cost of batches', () => {
  it('each report covers the time since the last one', () => {
    const load = new BatchLoad();
    expect(load.take()).to.equal(null);
    load.noteBatch(5);
    load.noteWrite(40);
    load.noteSent(100);
    load.noteBatch(90);
    load.noteWrite(20);
    load.noteSent(400);
    expect(load.take()).to.deep.equal({
      batches: 2,
      writes: 2,
      writtenMs: 60,
      longestWriteMs: 40,
      longestWaitMs: 90,
      longestSilenceMs: 300,
    });
    load.noteBatch(1);
    load.noteSent(450);
    expect(load.take()).to.include({batches: 1, longestSilenceMs: 50});
  });
  it('a silence before the node led again is not counted', () => {
    const load = new BatchLoad();
    load.noteSent(100);
    load.forgetSilence();
    load.noteBatch(1);
    load.noteSent(5000);
    expect(load.take()).to.include({longestSilenceMs: 0});
  });
});
