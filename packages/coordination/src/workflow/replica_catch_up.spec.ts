import {expect} from 'chai';
import {CellError} from '@primrosewick/state';
import {pause, systemClock} from '@primrosewick/transport';
import {ReplicaCatchUp} from './replica_catch_up.js';

const TIMEOUT_MS = 600;

/** A replica and the leaders that it asks, one answer a round. */
const makeCatchUp = (
  rounds: ReadonlyArray<() => Promise<number>>,
  appliedIndex = () => 10,
) => {
  let asked = 0;
  const catchUp = new ReplicaCatchUp({
    clock: systemClock,
    appliedIndex,
    askLeader: () => rounds[Math.min(asked++, rounds.length - 1)]!(),
  });
  return {catchUp, askedCount: () => asked};
};
const soon = () => performance.now() + TIMEOUT_MS;
const silence = () => new Promise<never>(() => undefined);
const errorOf = (reached: Promise<void>): Promise<unknown> =>
  reached.then(
    () => undefined,
    (err: unknown) => err,
  );

describe('replica catch-up', () => {
  it('a replica at the read index is read at once', async () => {
    const {catchUp, askedCount} = makeCatchUp([async () => 10]);
    await catchUp.reach(soon());
    expect(askedCount()).to.equal(1);
  });
  it('a replica behind the read index is not read before it has caught up', async () => {
    let applied = 9;
    const {catchUp} = makeCatchUp([async () => 10], () => applied);
    let isReached = false;
    const reached = catchUp.reach(soon()).then(() => (isReached = true));
    await pause(systemClock, 50);
    expect(isReached).to.equal(false);
    applied = 10;
    await reached;
  });
  it('a replica that stays behind is not read', async () => {
    const {catchUp} = makeCatchUp([async () => 10], () => 9);
    const err = await errorOf(catchUp.reach(soon()));
    expect(err).to.include({code: 'log_unavailable'});
  });
  it('a replica is not read while no leader confirms', async () => {
    const {catchUp} = makeCatchUp([silence]);
    const err = await errorOf(catchUp.reach(soon()));
    expect(err).to.include({code: 'log_unavailable'});
  });
  it('a deposed leader confirms nothing', async () => {
    const deposed = async (): Promise<never> => {
      throw new CellError({code: 'not_leader', step: 'read-index'});
    };
    const {catchUp} = makeCatchUp([deposed]);
    const err = await errorOf(catchUp.reach(soon()));
    expect(err).to.include({code: 'log_unavailable'});
  });
  it('a read index is asked for again when a leader falls silent', async () => {
    const {catchUp, askedCount} = makeCatchUp([silence, async () => 10]);
    const startedAt = performance.now();
    await catchUp.reach(soon());
    expect(askedCount()).to.equal(2);
    expect(performance.now() - startedAt).to.be.lessThan(TIMEOUT_MS / 2);
  });
  it('reads at the same time share a round', async () => {
    const {catchUp, askedCount} = makeCatchUp([
      async () => {
        await pause(systemClock, 20);
        return 10;
      },
    ]);
    await Promise.all(Array.from({length: 50}, () => catchUp.reach(soon())));
    // The first read begins a round; all others share the next one.
    expect(askedCount()).to.equal(2);
  });
  it('a read is not confirmed by a round that began before it', async () => {
    let applied = 10;
    let answerFirst: (index: number) => void = () => undefined;
    const first = new Promise<number>(resolve => (answerFirst = resolve));
    const {catchUp} = makeCatchUp([() => first, async () => 11], () => applied);
    const earlier = catchUp.reach(soon());
    const seenByLater = catchUp.reach(soon()).then(() => applied);
    answerFirst(10);
    await earlier;
    await pause(systemClock, 50);
    applied = 11;
    expect(await seenByLater).to.equal(11);
  });
});
