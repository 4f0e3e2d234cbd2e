import {expect} from 'chai';
import fc from 'fast-check';
import {RecordReader, decodeRecords, encodeRecord} from './record_codec.js';

const payloads = fc.array(fc.uint8Array({minLength: 1, maxLength: 40}), {
  minLength: 1,
  maxLength: 6,
});
const SEED = 4101;
/** Bytes of a part of a file that is read in parts; a record takes several. */
const PART_BYTES = 7;

describe('record codec', () => {
  it('a torn tail loses only the last record', () => {
    fc.assert(
      fc.property(payloads, fc.nat(), (all, cut) => {
        const last = encodeRecord(all.at(-1)!);
        const valid = Buffer.concat(all.slice(0, -1).map(encodeRecord));
        const torn = last.subarray(0, cut % last.length);
        const {records, validBytes} = decodeRecords(
          Buffer.concat([valid, torn]),
          'log',
        );
        expect(records.map(bytes => [...bytes])).to.deep.equal(
          all.slice(0, -1).map(bytes => [...bytes]),
        );
        expect(validBytes).to.equal(valid.length);
      }),
      {seed: SEED, numRuns: 500},
    );
  });
  // Guards against a start that needs the whole file of a log in memory.
  it('records of a file in parts of any size are those of the whole file', () => {
    fc.assert(
      fc.property(
        payloads,
        fc.integer({min: 1, max: 60}),
        fc.nat({max: 10}),
        (all, partBytes, torn) => {
          const whole = Buffer.concat(all.map(encodeRecord));
          const file = whole.subarray(0, whole.length - torn);
          const reader = new RecordReader('log');
          const records: number[][] = [];
          for (let at = 0; at < file.length; at += partBytes)
            for (const record of reader.add(file.subarray(at, at + partBytes)))
              records.push([...record]);
          const expected = decodeRecords(file, 'log');
          expect(records).to.eql(expected.records.map(bytes => [...bytes]));
          expect(reader.end()).to.equal(expected.validBytes);
        },
      ),
      {seed: SEED, numRuns: 500},
    );
  });
  it('damage before a valid record is an error', () => {
    fc.assert(
      fc.property(
        payloads,
        fc.nat(),
        fc.integer({min: 1, max: 255}),
        (all, at, flip) => {
          const first = encodeRecord(all[0]!);
          const bytes = Buffer.concat([first, ...all.map(encodeRecord)]);
          const position = at % first.length;
          bytes.writeUInt8(bytes.readUInt8(position) ^ flip, position);
          expect(() => decodeRecords(bytes, 'log')).to.throw(
            'damaged at byte 0',
          );
          const reader = new RecordReader('log');
          for (let from = 0; from < bytes.length; from += PART_BYTES)
            reader.add(bytes.subarray(from, from + PART_BYTES));
          expect(() => reader.end()).to.throw('damaged at byte 0');
        },
      ),
      {seed: SEED, numRuns: 500},
    );
  });
});
