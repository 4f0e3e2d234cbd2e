import {expect} from 'chai';
import {toCellError} from '@primrosewick/state';
import {MAX_LINK_FRAME_BYTES} from '@primrosewick/protocol';
import {makePair, startPair, turns} from './fixtures.js';

const COMMAND = 'c'.repeat(1_000_000);
/** Proposals at once: fewer than the leader takes by number. */
const PROPOSALS = 60;
/** Most bytes that a leader should hold for commands that are not committed. */
const MAX_HELD_BYTES = 40_000_000;

/** Codes of the failures of calls; those that succeed have none. */
const codesOf = (calls: ReadonlyArray<Promise<unknown>>): Promise<string[]> =>
  Promise.all(
    calls.map(call =>
      call.then(
        () => 'applied',
        err => toCellError(err, 'propose').code,
      ),
    ),
  );

describe('size of proposals', () => {
  const cleanUps: Array<() => void> = [];
  afterEach(() => cleanUps.splice(0).forEach(cleanUp => cleanUp()));

  const start = async () => {
    const pair = makePair();
    for (const task of pair.tasks) cleanUps.push(() => task.stop());
    await startPair(pair);
    return pair;
  };

  // Guards against a command that is accepted and fits in no message.
  it('a command that no link could carry is refused, and others go on', async () => {
    const {leader} = await start();
    const tooLarge = leader.propose('c'.repeat(MAX_LINK_FRAME_BYTES));
    expect(await codesOf([tooLarge, leader.propose('small')])).to.eql([
      'body_too_large',
      'applied',
    ]);
  });
  // Guards against a leader whose memory is filled by commands that wait.
  it('commands that wait for a write are bounded by their bytes', async () => {
    const {leader, disk} = await start();
    disk.isHolding = true;
    let refused = 0;
    const calls = Array.from({length: PROPOSALS}, () =>
      leader.propose(COMMAND),
    );
    for (const call of calls) call.catch(() => refused++);
    await turns(5);
    const heldBytes = (PROPOSALS - refused) * COMMAND.length;
    expect(heldBytes).to.be.within(COMMAND.length, MAX_HELD_BYTES);
    disk.isHolding = false;
    while (disk.open > 0) disk.release();
    expect(await codesOf(calls)).to.include('applied');
    expect(await codesOf([leader.propose('later')])).to.eql(['applied']);
  });
});
