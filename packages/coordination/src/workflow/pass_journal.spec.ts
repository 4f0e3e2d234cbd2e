import {expect} from 'chai';
import {type Bundle, type PassEvent, type Plan} from '@primrosewick/state';
import {
  testBundle,
  testKeyedCustomer,
  testDigest,
  testQueue,
} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {JournalRecorder} from '../journal/recorder.js';
import {PassJournal} from './pass_journal.js';

const JOURNAL_BYTES = 1_000_000;
/** Most bytes that the journal may hold: its two segments with what comes until an image. */
const MAX_KEPT_BYTES = 4 * JOURNAL_BYTES;
/** Changes of the bundle in a second, of about 100 KB each without their text. */
const CHANGES_PER_S = 5;

const bundleOf = (version: number): Bundle =>
  testBundle({
    version,
    queues: Array.from({length: 500}, (_, i) =>
      testQueue({name: `queue-${i}`, prefix: `/queue-${i}/`}),
    ),
    source: 's'.repeat(100_000),
  });

const idlePass = (now: number) =>
  ({
    kind: 'pass',
    now,
    wall: now,
    remaining: [],
    endingSoon: [],
  }) as never as PassEvent;
const NO_PLAN = {starts: [], stops: [], advice: []} as never as Plan;

describe('journal of the planner', () => {
  // Guards against a journal that grows by megabytes a second until its next image.
  it('many changes of a large bundle stay within its bound, without their texts', () => {
    const recorder = new JournalRecorder({
      clock: systemClock,
      maxBytes: JOURNAL_BYTES,
    });
    const journal = new PassJournal(recorder, () => ({small: true}));
    let longest = 0;
    for (let version = 1; version <= 400; version++) {
      const now = (version * 1000) / CHANGES_PER_S;
      journal.noteRecord(version, {
        kind: 'put_bundle',
        bundle: bundleOf(version),
      });
      journal.notePass(idlePass(now), NO_PLAN);
      longest = Math.max(longest, recorder.getBytes('workflows').length);
    }
    expect(longest).to.be.within(JOURNAL_BYTES / 2, MAX_KEPT_BYTES);
    expect(recorder.getBytes('workflows').includes('sss')).to.equal(false);
  });
  // Guards against keys in the journal, which is served on the metrics port.
  it('a bundle is recorded without keys and their digests', () => {
    const recorder = new JournalRecorder({
      clock: systemClock,
      maxBytes: JOURNAL_BYTES,
    });
    const bundle = testBundle({
      customers: [testKeyedCustomer('acme', ['topsecret'])],
      source: 'topsecret',
    });
    new PassJournal(recorder, () => ({})).noteRecord(1, {
      kind: 'put_bundle',
      bundle,
    });
    const text = recorder.getBytes('workflows').toString();
    expect(text).to.contain('acme');
    expect(text).not.to.contain('topsecret');
    expect(text).not.to.contain(testDigest('topsecret'));
  });
});
