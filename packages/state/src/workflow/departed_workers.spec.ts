import {expect} from 'chai';
import {WorkflowDb} from './db.js';
import {MAX_DEPARTED} from './departed_workers.js';
import {TestLog, testWorker} from './fixtures.js';
import type {WorkflowImage} from './types.js';

/** A log whose worker `w1` has left, by its own word or not. */
const logWithout = (isFinal: boolean, bornAt = 5): TestLog => {
  const log = new TestLog();
  log.addWorker('w1', {bornAt});
  log.apply({
    kind: 'remove_worker',
    life: {worker: 'w1' as never, bornAt},
    runs: [],
    ...(isFinal ? {isFinal} : {}),
  });
  return log;
};

const announce = (db: WorkflowDb, bornAt: number): boolean => {
  const report = testWorker('w1', {bornAt});
  db.apply(db.index + 1, {kind: 'put_worker', report});
  return db.findIncarnation(report) !== undefined;
};

const restored = (image: WorkflowImage): WorkflowDb => {
  const db = new WorkflowDb();
  db.restore(JSON.parse(JSON.stringify(image)) as WorkflowImage);
  return db;
};

describe('departed workers', () => {
  it('an incarnation that has left by its own word registers no more', () => {
    const {db} = logWithout(true);
    expect(announce(db, 5)).to.equal(false);
    expect(announce(restored(db.toImage()), 5)).to.equal(false);
  });
  it('the next incarnation registers, even with a clock that went back', () => {
    expect(announce(logWithout(true).db, 6)).to.equal(true);
    expect(announce(logWithout(true).db, 4)).to.equal(true);
  });
  it('a worker that was removed without its own word may return', () => {
    expect(announce(logWithout(false).db, 5)).to.equal(true);
  });
  it('a worker whose start is unknown may return', () => {
    expect(announce(logWithout(true, 0).db, 0)).to.equal(true);
  });
  it('an image without departed workers is restored', () => {
    const {departed, ...image} = logWithout(true).db.toImage();
    expect(departed).to.have.length(1);
    expect(announce(restored(image), 5)).to.equal(true);
  });
  it('only the latest departures are kept, the same in each image', () => {
    const {db} = new TestLog();
    for (let bornAt = 1; bornAt <= MAX_DEPARTED + 5; bornAt++) {
      announce(db, bornAt);
      const life = {worker: 'w1' as never, bornAt};
      db.apply(db.index + 1, {
        kind: 'remove_worker',
        life,
        runs: [],
        isFinal: true,
      });
    }
    const {departed} = db.toImage();
    expect(departed).to.have.length(MAX_DEPARTED);
    expect(departed?.[0]?.bornAt).to.equal(6);
    expect(restored(db.toImage()).toImage().departed).to.eql(departed);
  });
});
