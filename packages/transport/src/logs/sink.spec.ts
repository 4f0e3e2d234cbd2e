import {expect} from 'chai';
import {LogSink, type WriteBytes} from './sink.js';

const nextTick = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));

describe('LogSink', () => {
  it('drops and counts lines without blocking while the reader is stalled', async () => {
    const written: string[] = [];
    let finish: () => void = () => undefined;
    const write: WriteBytes = (bytes, done) => {
      written.push(bytes.toString());
      finish = () => done(null, bytes.length);
    };
    const sink = new LogSink({write, maxBufferedBytes: 10, flushDelayMs: 0});
    sink.write('first\n');
    await nextTick();
    for (let i = 0; i < 100; i++) sink.write('line\n');
    expect(written).to.eql(['first\n']);
    expect(sink.droppedCount).to.equal(98);
    finish();
    expect(written[1]).to.contain('line\nline\n');
    expect(written[1]).to.contain('"lines":98');
  });
  it('writes the lines of one tick together and continues after a partial write', async () => {
    const written: string[] = [];
    const write: WriteBytes = (bytes, done) => {
      const part = bytes.subarray(0, 4);
      written.push(part.toString());
      setImmediate(() => done(null, part.length));
    };
    const sink = new LogSink({write, flushDelayMs: 0});
    sink.write('one\n');
    sink.write('two\n');
    for (let i = 0; i < 4; i++) await nextTick();
    expect(written).to.eql(['one\n', 'two\n']);
  });
  it('writes a burst in whole lines that a pipe takes at once', async () => {
    const written: string[] = [];
    const write: WriteBytes = (bytes, done) => {
      written.push(bytes.toString());
      setImmediate(() => done(null, bytes.length));
    };
    const sink = new LogSink({write, flushDelayMs: 0});
    const lines = Array.from(
      {length: 100},
      (_, i) => `${i} ${'x'.repeat(250)}\n`,
    );
    for (const line of lines) sink.write(line);
    for (let i = 0; i < 20; i++) await nextTick();
    expect(written.join('')).to.equal(lines.join(''));
    for (const part of written) {
      expect(Buffer.byteLength(part)).to.be.at.most(4096);
      expect(part.endsWith('\n')).to.equal(true);
    }
  });
  it('a burst needs no turn of the event loop for each of its writes', async () => {
    const writes: string[] = [];
    const pending: Array<() => void> = [];
    const write: WriteBytes = (bytes, done) => {
      writes.push(bytes.toString());
      pending.push(() => done(null, bytes.length));
    };
    const sink = new LogSink({write, flushDelayMs: 0});
    for (let i = 0; i < 100; i++) sink.write(`${'x'.repeat(250)}\n`);
    await nextTick();
    expect(writes.join('')).to.have.length(25_100);
    sink.write('later\n');
    for (const finish of pending.splice(0)) finish();
    expect(writes.at(-1)).to.equal('later\n');
  });
  it('writes buffered lines when the process exits', () => {
    const last: string[] = [];
    const sink = new LogSink({
      write: () => undefined,
      writeOnExit: bytes => last.push(bytes.toString()),
    });
    sink.write('stopped\n');
    sink.end();
    sink.end();
    expect(last).to.eql(['stopped\n']);
  });
});
