import {expect} from 'chai';
import type {JobSpec} from '../documents/job.js';
import type {Profile} from '../documents/profile.js';
import {
  asEpoch,
  asId,
  type ProfileName,
  type TaskId,
  type TeamName,
  type ZoneId,
} from '../ids/types.js';
import {CellState} from './core.js';
import type {CellCommand, CellResult} from './types.js';

const DAY_MS = 24 * 60 * 60 * 1000;
const START = 1_800_000_000_000;

const claim = (
  at: number,
  key: string,
  claimant: string,
  digest = 'd',
): CellCommand => ({
  at,
  body: {kind: 'claim_key', key, digest, claimant, settleBy: START + 1000},
});

const isClaimed = (result: CellResult): boolean =>
  result.ok && result.value.kind === 'key' && result.value.claimed;
const codeOf = (result: CellResult): string =>
  result.ok ? 'ok' : result.error.code;

describe('idempotency keys in the cell state', () => {
  it('a claimed key is not granted to a second claimant', () => {
    const state = new CellState();
    expect(isClaimed(state.apply(1, claim(START, 'k', 'a')))).to.equal(true);
    expect(isClaimed(state.apply(2, claim(START, 'k', 'b')))).to.equal(false);
  });
  it('a claim of a key with another digest is refused', () => {
    const state = new CellState();
    state.apply(1, claim(START, 'k', 'a'));
    expect(codeOf(state.apply(2, claim(START, 'k', 'b', 'other')))).to.equal(
      'key_reused',
    );
  });
  it('a key whose request was not run can be claimed again', () => {
    const state = new CellState();
    state.apply(1, claim(START, 'k', 'a'));
    state.apply(2, {
      at: START,
      body: {
        kind: 'settle_key',
        key: 'k',
        claimant: 'a',
        answer: {kind: 'not_run'},
      },
    });
    expect(isClaimed(state.apply(3, claim(START, 'k', 'b')))).to.equal(true);
  });
  it('a proposer whose clock has jumped ahead expires no key', () => {
    const state = new CellState();
    state.apply(1, claim(START, 'k', 'a'));
    state.apply(2, claim(START + 3 * DAY_MS, 'other', 'x'));
    expect(isClaimed(state.apply(3, claim(START, 'k', 'b')))).to.equal(false);
  });
  it('a key can be claimed again after its retention time', () => {
    const state = new CellState({keyRetentionMs: 5 * 60 * 1000});
    state.apply(1, claim(START, 'k', 'a'));
    expect(
      isClaimed(state.apply(2, claim(START + 6 * 60 * 1000, 'k', 'b'))),
    ).to.equal(true);
  });
  it('an image restores the keys and the log time', () => {
    const state = new CellState();
    state.apply(1, claim(START, 'k', 'a'));
    const copy = new CellState();
    copy.restore(state.toImage());
    expect(copy.toImage()).to.deep.equal(state.toImage());
    expect(
      isClaimed(copy.apply(2, claim(START + 3 * DAY_MS, 'k', 'b'))),
    ).to.equal(false);
  });
});

describe('recorded starts in the cell state', () => {
  it('a start is recorded for one epoch only', () => {
    const state = new CellState();
    const profile = plainProfileBody();
    state.apply(1, {
      at: START,
      body: {kind: 'put_profile', baseRevision: 0, profile},
    });
    state.apply(2, {
      at: START,
      body: {
        kind: 'submit_job',
        homeZone: asId<ZoneId>('z'),
        spec: jobSpecOf(profile.name),
      },
    });
    const task = asId<TaskId>('job-2.0');
    const record = (index: number, epoch: number): CellResult =>
      state.apply(index, {
        at: START,
        body: {kind: 'record_starts', tasks: [task], epoch: asEpoch(epoch)},
      });
    expect(record(3, 7))
      .to.have.nested.property('value.tasks')
      .that.deep.equals([task]);
    expect(record(4, 7))
      .to.have.nested.property('value.tasks')
      .that.deep.equals([task]);
    expect(record(5, 8))
      .to.have.nested.property('value.tasks')
      .that.deep.equals([]);
  });
});

const jobSpecOf = (profile: ProfileName): JobSpec => ({
  team: asId<TeamName>('t'),
  profile,
  taskCount: 1,
  gang: false,
  priority: 4,
  size: {cpuMillis: 1, memoryMb: 1, accelerators: 0},
  command: 'run',
  runMs: 1,
});

const plainProfileBody = (): Profile => ({
  name: asId<ProfileName>('p'),
  placing: {kind: 'pack'},
  waiting: {
    classes: [
      {name: 'all', pathPrefix: '/', priority: 1, deadlineMs: 1, queueBound: 1},
    ],
    spill: {kind: 'never'},
  },
  stopping: {graceMs: 0, checkpoint: false, repeat: {kind: 'at_most_once'}},
});
