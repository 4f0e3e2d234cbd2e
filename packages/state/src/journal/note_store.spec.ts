import {expect} from 'chai';
import {NoteStore} from './note_store.js';

const reasonsOf = (store: NoteStore, subject: string): string[] =>
  store.find(subject).map(({reason}) => reason);

describe('note store', () => {
  it('returns the reasons for a subject, in order and with their times', () => {
    const store = new NoteStore(10);
    store.add([{subject: 'a', reason: 'first'}], 100);
    store.add([{subject: 'b', reason: 'other'}], 200);
    store.add([{subject: 'a', reason: 'zweitens: ü€😀'}], 300);
    expect(store.find('a')).to.eql([
      {subject: 'a', reason: 'first', at: 100},
      {subject: 'a', reason: 'zweitens: ü€😀', at: 300},
    ]);
  });
  it('finds the parts of a subject, but no other subject with the same prefix', () => {
    const store = new NoteStore(10);
    for (const subject of ['job', 'job.0', 'job.0.1', 'job2', 'x.job'])
      store.add([{subject, reason: subject}], 0);
    expect(reasonsOf(store, 'job')).to.eql(['job', 'job.0', 'job.0.1']);
    expect(reasonsOf(store, 'job.0')).to.eql(['job.0', 'job.0.1']);
    expect(reasonsOf(store, 'jo')).to.eql([]);
  });
  it('a subject with quotes, newlines or wide characters is found', () => {
    for (const subject of ['a"b', 'a\nb', 'a\\', 'ü😀', '\ud83d', '']) {
      const store = new NoteStore(10);
      store.add([{subject, reason: 'r'}], 0);
      store.add([{subject: `${subject}.1`, reason: 's'}], 0);
      expect(reasonsOf(store, subject)).to.eql(['r', 's']);
    }
  });
  it('a reason that contains the field of a subject does not match that subject', () => {
    const store = new NoteStore(10);
    store.add([{subject: 'a', reason: '"subject":"b"'}], 0);
    expect(store.find('b')).to.eql([]);
  });
  it('keeps at least maxNotes of the latest notes and at most twice as many', () => {
    const store = new NoteStore(10);
    for (let i = 0; i < 137; i++) {
      store.add([{subject: 'a', reason: `${i}`}], i);
      const kept = reasonsOf(store, 'a');
      expect(kept.length).to.be.within(Math.min(i + 1, 10), 20);
      expect(kept.at(-1)).to.equal(`${i}`);
      expect(kept[0]).to.equal(`${i + 1 - kept.length}`);
    }
  });
  it('keeps the latest notes of a step with more notes than are kept', () => {
    const store = new NoteStore(10);
    const notes = Array.from({length: 55}, (_, i) => ({
      subject: 'a',
      reason: `${i}`,
    }));
    store.add(notes, 0);
    const kept = reasonsOf(store, 'a');
    expect(kept.length).to.be.within(10, 20);
    expect(kept.at(-1)).to.equal('54');
  });
});
