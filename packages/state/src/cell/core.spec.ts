import {expect} from 'chai';
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
  it('one claimant owns a key', () => {
    const state = new CellState();
    expect(isClaimed(state.apply(1, claim(START, 'k', 'a')))).to.equal(true);
    expect(isClaimed(state.apply(2, claim(START, 'k', 'b')))).to.equal(false);
  });
  it('a key with another body is refused', () => {
    const state = new CellState();
    state.apply(1, claim(START, 'k', 'a'));
    expect(codeOf(state.apply(2, claim(START, 'k', 'b', 'other')))).to.equal(
      'key_reused',
    );
  });
  it('a key that was not run is free again', () => {
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
  it('a clock that jumped ahead frees no key', () => {
    const state = new CellState();
    state.apply(1, claim(START, 'k', 'a'));
    state.apply(2, claim(START + 3 * DAY_MS, 'other', 'x'));
    expect(isClaimed(state.apply(3, claim(START, 'k', 'b')))).to.equal(false);
  });
  it('a key is free after its time', () => {
    const state = new CellState({keyRetentionMs: 5 * 60 * 1000});
    state.apply(1, claim(START, 'k', 'a'));
    expect(
      isClaimed(state.apply(2, claim(START + 6 * 60 * 1000, 'k', 'b'))),
    ).to.equal(true);
  });
  it('an image holds the keys and the time', () => {
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
