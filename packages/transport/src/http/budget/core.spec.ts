import {expect} from 'chai';
import {
  MANY_PARSED_REQUESTS,
  MANY_STARTED_REQUESTS,
  MAX_REQUESTS_IN_PROGRESS,
  MAX_UNREAD_BYTES,
  PeerLedger,
  UNREAD_TIMEOUT_MS,
  decideAhead,
  followUnread,
  isFragmented,
  isUnread,
} from './core.js';
import {
  CONNECTION_BYTES,
  budgetLimitsOf,
  type ConnectionId,
  type PeerAddress,
  type ServerId,
} from './types.js';

const id = (n: number): ConnectionId => n as ConnectionId;
const SERVER = 1 as ServerId;
const MAX_BYTES = 10 * CONNECTION_BYTES;

/** Opens connections 1, 2 and so on at the times 1, 2 and so on. */
const ledgerOf = (addresses: readonly string[], maxConnections = 100) => {
  const ledger = new PeerLedger({maxBytes: MAX_BYTES, maxConnections});
  for (const [i, address] of addresses.entries())
    ledger.open(id(i + 1), {
      address: address as PeerAddress,
      server: SERVER,
      now: i + 1,
    });
  return ledger;
};

describe('budget for peers', () => {
  it('closes nothing while the budget is kept', () => {
    const ledger = ledgerOf(['a', 'b']);
    ledger.add(id(1), MAX_BYTES - 2 * CONNECTION_BYTES);
    expect(ledger.findLargest()).to.equal(undefined);
  });
  // Guards against closing a lone caller for what a crowd holds.
  it('chooses the address that holds most, not the largest connection', () => {
    const ledger = ledgerOf(['crowd', 'crowd', 'lone']);
    ledger.add(id(1), 4 * CONNECTION_BYTES);
    ledger.add(id(2), 3 * CONNECTION_BYTES);
    ledger.add(id(3), 5 * CONNECTION_BYTES);
    expect(ledger.findLargest()).to.equal(1);
  });
  it('chooses the slowest of equal connections', () => {
    const ledger = ledgerOf(['a', 'a', 'a']);
    for (const n of [1, 2, 3]) ledger.add(id(n), 4 * CONNECTION_BYTES);
    ledger.noteRequest(id(1), 1, 10);
    expect(ledger.findLargest()).to.equal(2);
  });
  it('lets go of all that a closed connection held', () => {
    const ledger = ledgerOf(['a', 'b']);
    ledger.add(id(1), 20 * CONNECTION_BYTES);
    ledger.close(id(1));
    ledger.add(id(1), 5);
    expect(ledger.heldBytes).to.equal(CONNECTION_BYTES);
    expect(ledger.addresses).to.equal(1);
  });
  // Guards against idle connections that keep others out.
  it('closes the longest idle connection of the busiest address for a new one', () => {
    const ledger = ledgerOf(['crowd', 'crowd', 'crowd', 'lone'], 3);
    ledger.noteRequest(id(1), 1, 5);
    expect(ledger.findIdlest(id(4), 100)).to.equal(2);
  });
  it('closes the new connection where none is idle', () => {
    const ledger = ledgerOf(['a', 'a', 'a'], 2);
    for (const n of [1, 2]) ledger.noteRequest(id(n), 1, 5);
    expect(ledger.findIdlest(id(3), 100)).to.equal(3);
  });
  it('counts the connections of a full server alone', () => {
    const ledger = ledgerOf(['a', 'a', 'a']);
    const other = {address: 'b' as PeerAddress, server: 2 as ServerId, now: 9};
    ledger.open(id(4), other);
    ledger.open(id(5), {...other, now: 10});
    expect(ledger.findIdlest(id(5), 1)).to.equal(4);
    expect(ledger.findIdlest(id(5), 2)).to.equal(undefined);
  });
  it('starts a bounded number of requests sent ahead, in their order', () => {
    const idle = {
      started: 0,
      startedInAll: 0,
      parsedInAll: 0,
      waiting: 0,
      unreadBytes: 0,
    };
    expect(decideAhead(idle)).to.equal('start');
    const full = {...idle, started: MAX_REQUESTS_IN_PROGRESS};
    expect(decideAhead(full)).to.equal('close');
    expect(decideAhead({...full, started: full.started - 1})).to.equal('start');
    const mixed = {...full, started: 1, waiting: MAX_REQUESTS_IN_PROGRESS - 1};
    expect(decideAhead(mixed)).to.equal('close');
    expect(decideAhead({...mixed, started: 0})).to.equal('wait');
    expect(decideAhead({...idle, waiting: 1})).to.equal('wait');
    expect(decideAhead({...idle, unreadBytes: MAX_UNREAD_BYTES + 1})).to.equal(
      'wait',
    );
    const busy = {...idle, startedInAll: MANY_STARTED_REQUESTS};
    expect(decideAhead(busy)).to.equal('start');
    expect(decideAhead({...busy, started: 1})).to.equal('wait');
    const crowded = {...idle, parsedInAll: MANY_PARSED_REQUESTS};
    expect(decideAhead(crowded)).to.equal('start');
    expect(decideAhead({...crowded, started: 1})).to.equal('close');
  });
  it('a peer that reads nothing is found, one that reads slowly is not', () => {
    const began = {bytes: 0, movedAt: 0};
    const stuck = followUnread(followUnread(began, 100, 10), 100, 5000);
    expect(isUnread(stuck, 10 + UNREAD_TIMEOUT_MS)).to.equal(true);
    const slow = followUnread(stuck, 99, 5000);
    expect(isUnread(slow, 10 + UNREAD_TIMEOUT_MS)).to.equal(false);
    expect(isUnread(followUnread(stuck, 0, 5000), 99_999)).to.equal(false);
  });
  it('a body in tiny chunks is found, one in ordinary parts is not', () => {
    expect(isFragmented(512, 512)).to.equal(false);
    expect(isFragmented(600, 600)).to.equal(true);
    expect(isFragmented(8000, 8 * 1024 * 1024)).to.equal(false);
  });
  it('has room for the largest configuration on a small process', () => {
    const {maxBytes} = budgetLimitsOf({memoryMb: 64, maxFds: 100});
    expect(maxBytes).to.be.above(8 * 1024 * 1024);
  });
});
