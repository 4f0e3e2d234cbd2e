import {expect} from 'chai';
import {JournalDb} from './db.js';
import type {CoreName, JournalLine} from './types.js';

const CORE: CoreName = 'workflows';

const stepLine = (event: unknown, core: CoreName = CORE): JournalLine => ({
  kind: 'step',
  core,
  event,
  outcome: null,
  notes: [],
});

const imageLine = (image: Uint8Array): JournalLine => ({
  kind: 'resume',
  core: CORE,
  image: Buffer.from(image).toString('base64'),
});

const smallDb = (): JournalDb =>
  new JournalDb({segmentBytes: 1000, maxNotes: 10});

const linesOf = (db: JournalDb, core: CoreName = CORE): JournalLine[] =>
  db.getLines(core).map(line => JSON.parse(line) as JournalLine);

describe('journal db', () => {
  it('keeps the current and the previous segment', () => {
    const db = smallDb();
    for (const event of [1, 2, 3]) {
      db.rotate(CORE);
      db.addLine(stepLine(event));
    }
    expect(linesOf(db)).to.eql([stepLine(2), stepLine(3)]);
  });
  it('an image is the first line of its segment', () => {
    const db = smallDb();
    const image = Uint8Array.from([0, 1, 250, 255]);
    db.addLine(stepLine('before'));
    db.rotate(CORE, image);
    db.addLine(stepLine('after'));
    expect(linesOf(db)).to.eql([
      stepLine('before'),
      imageLine(image),
      stepLine('after'),
    ]);
  });
  it('rotating the segments of one core leaves the others unchanged', () => {
    const db = smallDb();
    db.addLine(stepLine(1));
    db.addLine(stepLine(2, 'shares'));
    db.rotate('shares');
    db.rotate('shares');
    expect(linesOf(db)).to.eql([stepLine(1)]);
    expect(linesOf(db, 'shares')).to.eql([]);
    expect(linesOf(db, 'requests')).to.eql([]);
  });
  it('getBytes returns the lines joined by newlines', () => {
    const db = smallDb();
    expect(db.getBytes(CORE).length).to.equal(0);
    db.rotate(CORE, Uint8Array.from([7]));
    for (let i = 0; i < 100; i++) db.addLine(stepLine('€'.repeat(500)));
    const text = db.getLines(CORE).join('\n');
    expect(db.getBytes(CORE).toString()).to.equal(text);
  });
  it('a segment is full at its bound', () => {
    const db = smallDb();
    const bytes = JSON.stringify(stepLine('')).length + 1;
    db.addLine(stepLine('x'.repeat(999 - bytes)));
    expect(db.isFull(CORE)).to.equal(false);
    db.addLine(stepLine(''));
    expect(db.isFull(CORE)).to.equal(true);
    db.rotate(CORE);
    expect(db.isFull(CORE)).to.equal(false);
  });
  it('the bytes of an image count toward the bound of its segment', () => {
    const db = smallDb();
    db.rotate(CORE, new Uint8Array(999));
    expect(db.isFull(CORE)).to.equal(false);
    db.rotate(CORE, new Uint8Array(1000));
    expect(db.isFull(CORE)).to.equal(true);
  });
  it('a large image raises the bound of its segment, up to maxSegmentBytes', () => {
    const db = new JournalDb({
      segmentBytes: 1000,
      maxSegmentBytes: 4000,
      maxNotes: 10,
    });
    const bytesUntilFull = (imageBytes: number): number => {
      db.rotate(CORE, new Uint8Array(imageBytes));
      const line = stepLine('x'.repeat(10));
      let bytes = imageBytes;
      while (!db.isFull(CORE)) {
        db.addLine(line);
        bytes += JSON.stringify(line).length + 1;
      }
      return bytes;
    };
    expect(bytesUntilFull(100)).to.be.within(1000, 1100);
    expect(bytesUntilFull(600)).to.be.within(3000, 3100);
    expect(bytesUntilFull(2000)).to.be.within(4000, 4100);
  });
});
