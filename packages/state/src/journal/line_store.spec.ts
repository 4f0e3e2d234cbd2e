import {expect} from 'chai';
import fc from 'fast-check';
import {LineStore} from './line_store.js';

const CHUNK_BYTES = 64 * 1024;

const storeOf = (lines: readonly string[]): LineStore => {
  const store = new LineStore();
  for (const line of lines) store.add(line);
  return store;
};

describe('line store', () => {
  it('an empty store has no lines', () => {
    expect(new LineStore().getLines()).to.eql([]);
    expect(new LineStore().find('a')).to.eql([]);
  });
  it('returns lines in insertion order', () => {
    const store = storeOf(['one', 'two', '', 'three']);
    expect(store.getLines()).to.eql(['one', 'two', '', 'three']);
    expect(store.count).to.equal(4);
    expect(store.bytes).to.equal('one\ntwo\n\nthree\n'.length);
  });
  it('keeps the order across many chunks', () => {
    const lines = Array.from({length: 3000}, (_, i) => `${i} `.repeat(30));
    const store = storeOf(lines);
    expect(store.getLines()).to.eql(lines);
    expect(store.getChunks().length).to.be.greaterThan(3);
  });
  for (const length of [CHUNK_BYTES - 2, CHUNK_BYTES - 1, CHUNK_BYTES])
    it(`a line of ${length} bytes is stored whole between others`, () => {
      const lines = ['a', 'x'.repeat(length), 'b'];
      expect(storeOf(lines).getLines()).to.eql(lines);
    });
  it('a chunk is filled to its last byte', () => {
    const lines = ['x'.repeat(CHUNK_BYTES - 3), 'y'];
    const store = storeOf(lines);
    expect(store.getChunks().length).to.equal(1);
    expect(store.getLines()).to.eql(lines);
    store.add('');
    expect(store.getChunks().length).to.equal(2);
  });
  it('a line longer than many chunks is stored whole', () => {
    const lines = ['a', 'ü'.repeat(5 * CHUNK_BYTES), 'b'];
    const store = storeOf(lines);
    expect(store.getLines()).to.eql(lines);
    expect(store.find('b')).to.eql(['b']);
  });
  it('multi-byte characters at the end of a chunk are stored whole', () => {
    for (const text of ['é', '€', '😀', 'a😀€é'])
      for (let gap = 0; gap < 14; gap++) {
        const lines = ['x'.repeat(CHUNK_BYTES - 1 - gap), text, 'z'];
        expect(storeOf(lines).getLines()).to.eql(lines);
      }
  });
  it('arbitrary lines are returned unchanged', () => {
    const line = fc
      .string({unit: 'binary', maxLength: 40})
      .map(text => text.replaceAll('\n', ''));
    const repeated = fc
      .tuple(line, fc.integer({min: 1, max: 2000}))
      .map(([text, times]) => text.repeat(times));
    fc.assert(
      fc.property(fc.array(repeated), lines => {
        expect(storeOf(lines).getLines()).to.eql(lines);
      }),
    );
  });
  it('finds each line that contains a text once', () => {
    const filler = Array.from({length: 5000}, (_, i) => `filler ${i}`);
    const store = storeOf(['ab', ...filler, 'ab ab', 'b', 'xab', ...filler]);
    expect(store.find('ab')).to.eql(['ab', 'ab ab', 'xab']);
  });
  it('is empty after clear and accepts new lines', () => {
    const store = storeOf(['a', 'x'.repeat(2 * CHUNK_BYTES), 'b']);
    store.clear();
    expect(store.getLines()).to.eql([]);
    expect([store.count, store.bytes]).to.eql([0, 0]);
    store.add('c');
    expect(store.getLines()).to.eql(['c']);
    expect(store.find('b')).to.eql([]);
  });
  it('buffers are reused after clear, but longer ones are released', () => {
    const store = storeOf(['a', 'x'.repeat(2 * CHUNK_BYTES)]);
    const [before] = store.getChunks();
    store.clear();
    store.add('b');
    expect(store.getChunks()[0]?.buffer).to.equal(before?.buffer);
    store.add('y'.repeat(CHUNK_BYTES));
    expect(store.getChunks()[1]?.length).to.equal(CHUNK_BYTES + 1);
  });
  it('clear releases spare buffers that the lines since the last clear did not need', () => {
    const full = 'x'.repeat(CHUNK_BYTES - 1);
    const store = storeOf([full, full, full]);
    const before = new Set(store.getChunks().map(({buffer}) => buffer));
    store.clear();
    store.add(full);
    store.clear();
    for (let i = 0; i < 3; i++) store.add(full);
    const again = store.getChunks().filter(({buffer}) => before.has(buffer));
    expect(again.length).to.equal(1);
  });
});
