import {expect} from 'chai';
import {testTask} from '@primrosewick/state/fixtures';
import {Silence, crashEvidenceOf, type SilentChannel} from './silence.js';

const WORKER = 'w1' as never;
const UNANSWERED = {task: testTask('a', 0, 0), run: 1};

const evidenceOf = (silence: Silence, part: Partial<SilentChannel> = {}) => {
  const channel = {
    silence,
    expectedStarts: [],
    undeliveredStarts: [UNANSWERED],
    ...part,
  };
  const clock = {now: () => 9000, wall: () => 9000} as never;
  return crashEvidenceOf(WORKER, clock, new Map([[WORKER, channel]]));
};

const silenceAfter = (
  failures: ReadonlyArray<Parameters<Silence['noteFailure']>>,
): Silence => {
  const silence = new Silence();
  silence.noteAnswer(5000);
  for (const failure of failures) silence.noteFailure(...failure);
  return silence;
};

describe('silence of a worker', () => {
  it('a connection that ends in time tells when the worker crashed', () => {
    const silence = silenceAfter([[5030, {sentAt: 5010, dueAt: 5010}]]);
    expect(evidenceOf(silence)).to.eql({
      at: 9000,
      heardAt: 5000,
      togetherCount: 0,
    });
  });
  it('a poll that ends while the worker may wait is no silence', () => {
    const silence = silenceAfter([[5900, {sentAt: 5000, dueAt: 6000}]]);
    expect(evidenceOf(silence).isDark).to.equal(undefined);
  });
  it('a start without an answer at a worker that was dark is not blamed', () => {
    const silence = silenceAfter([[6100, {sentAt: 5100, dueAt: 5100}]]);
    const {isDark, inFlight} = evidenceOf(silence);
    expect({isDark, inFlight}).to.eql({isDark: true, inFlight: ['a.0.0.0']});
  });
  it('a connection that ends long after an answer was due is no sign of the crash', () => {
    const silence = silenceAfter([
      [6500, {sentAt: 6400, dueAt: 6400}],
      [6500, {sentAt: 5050, dueAt: 6050}],
    ]);
    expect(evidenceOf(silence).isDark).to.equal(true);
  });
  it('calls to a worker that is known to be gone do not make it dark', () => {
    const silence = silenceAfter([
      [5030, {sentAt: 5010, dueAt: 5010}],
      [6130, {sentAt: 5130, dueAt: 5130}],
    ]);
    expect(evidenceOf(silence).isDark).to.equal(undefined);
  });
  // Guards against LOST: a task is given up for crashes behind two short cuts.
  it('a crash that no call told of, as another life answers first, is dark', () => {
    expect(evidenceOf(silenceAfter([])).isDark).to.equal(true);
  });
  it('an answer ends the dark', () => {
    const silence = silenceAfter([[6100, {sentAt: 5100, dueAt: 5100}]]);
    silence.noteAnswer(6200);
    silence.noteFailure(6300, {sentAt: 6290, dueAt: 6290});
    expect(evidenceOf(silence).isDark).to.equal(undefined);
  });
});
