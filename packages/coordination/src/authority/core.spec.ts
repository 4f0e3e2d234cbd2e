import {expect} from 'chai';
import type {AuthorityMessage} from '@primrosewick/protocol';
import {
  NO_EPOCH,
  asId,
  type Random,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {AuthorityCore} from './core.js';
import {Grantor} from './grantor.js';
import type {AuthorityEffects} from './types.js';

const ZONE = asId<ZoneId>('z');
const STEP_MS = 10;
const DELAY_MS = 10;
const WALL = 1_800_000_000_000;

/** A first delay, and another for all later ones. */
const delays = (firstMs: number, laterMs: number): Random => {
  let isFirst = true;
  const nextInt = (): number => {
    const delayMs = isFirst ? firstMs : laterMs;
    isFirst = false;
    return delayMs;
  };
  return {nextInt} as unknown as Random;
};

/** Two candidates of a zone whose third VM is gone, over a slow network. */
class Pair {
  readonly elected: Array<{readonly vm: VmId; readonly at: number}> = [];
  private now = 0;
  private readonly grantors = new Map<VmId, Grantor>();
  private readonly cores = new Map<VmId, AuthorityCore>();
  private readonly messages: Array<{at: number; deliver: () => void}> = [];

  constructor(randoms: Readonly<Record<string, Random>>) {
    const group = {
      zone: ZONE,
      grantors: ['a', 'b', 'gone'] as VmId[],
      candidates: ['a', 'b'] as VmId[],
    };
    Object.entries(randoms).forEach(([name, random], ordinal) => {
      const vm = name as VmId;
      const grantor = new Grantor({startedAt: 0, silentUntil: 0, driftMs: 200});
      this.grantors.set(vm, grantor);
      const options = {vm, ordinal, group, grantor, random, now: 0};
      this.cores.set(vm, new AuthorityCore(options));
    });
  }

  run(endAt: number): void {
    for (; this.now <= endAt; this.now += STEP_MS) {
      for (const vm of this.cores.keys())
        this.step(vm, {kind: 'tick', now: this.now, wall: WALL});
      const due = this.messages.filter(({at}) => at <= this.now);
      for (const message of due) {
        this.messages.splice(this.messages.indexOf(message), 1);
        message.deliver();
      }
    }
  }

  private step(vm: VmId, input: Parameters<AuthorityCore['step']>[0]): void {
    const {sends, changes} = this.cores.get(vm)!.step(input);
    for (const {kind} of changes)
      if (kind === 'elected') this.elected.push({vm, at: this.now});
    for (const {to, round, message} of sends) {
      const grantor = this.grantors.get(to);
      if (!grantor) continue;
      this.later(() => {
        const reply = grantor.handle(vm, message, this.now);
        this.later(() =>
          this.step(vm, {kind: 'reply', now: this.now, from: to, round, reply}),
        );
      });
    }
  }

  private later(deliver: () => void): void {
    this.messages.push({at: this.now + DELAY_MS, deliver});
  }
}

const NOTHING_LENT = {ageMs: 0, upstreams: [], holders: []};

/** A candidate whose two peers grant what it asks of them, as the test says. */
class Candidate {
  readonly core: AuthorityCore;
  effects: AuthorityEffects = {sends: [], changes: []};

  constructor() {
    this.core = new AuthorityCore({
      vm: 'a' as VmId,
      ordinal: 0,
      group: {
        zone: ZONE,
        grantors: ['a', 'b', 'c'] as VmId[],
        candidates: ['a', 'b', 'c'] as VmId[],
      },
      grantor: new Grantor({startedAt: 0, silentUntil: 0, driftMs: 200}),
      random: delays(300, 300),
      now: 0,
    });
  }

  /** Asks for the lease, and has a peer grant the preparation. */
  beginVote(now: number): void {
    this.effects = this.core.step({kind: 'tick', now, wall: WALL});
    this.grant(now);
  }

  /** Has a peer grant what was sent last. */
  grant(now: number): void {
    const [send] = this.effects.sends;
    if (!send) return;
    const reply = {
      isGranted: true,
      seenEpoch: NO_EPOCH,
      leader: null,
      past: {upMs: now},
    };
    const {to: from, round} = send;
    this.effects = this.core.step({kind: 'reply', now, from, round, reply});
  }

  resign(now: number): AuthorityMessage[] {
    const handover = NOTHING_LENT;
    const {sends} = this.core.step({kind: 'resign', now, handover});
    return sends.map(({message}) => message);
  }
}

const reasonsOf = (messages: readonly AuthorityMessage[]): string[] =>
  messages.flatMap(message =>
    message.kind === 'release' ? [message.why.kind] : [],
  );

describe('authority core', () => {
  it('a candidate that stops while it votes is not elected', () => {
    const candidate = new Candidate();
    candidate.beginVote(300);
    expect(reasonsOf(candidate.resign(305))).to.eql(['not_led', 'not_led']);
    candidate.grant(310);
    expect(candidate.core.epochAt(310)).to.equal(undefined);
  });
  it('a candidate that stops while it prepares asks for no vote', () => {
    const candidate = new Candidate();
    candidate.effects = candidate.core.step({
      kind: 'tick',
      now: 300,
      wall: WALL,
    });
    candidate.resign(305);
    candidate.grant(310);
    expect(candidate.effects.sends).to.eql([]);
  });
  it('a leader that stops hands on what it has lent', () => {
    const candidate = new Candidate();
    candidate.beginVote(300);
    candidate.grant(310);
    expect(reasonsOf(candidate.resign(400))).to.eql(['stopped', 'stopped']);
  });
  it('a leader that was suspended past its lease hands nothing on', () => {
    const candidate = new Candidate();
    candidate.beginVote(300);
    candidate.grant(310);
    expect(reasonsOf(candidate.resign(5000))).to.eql([]);
  });
  it('candidates that vote at the same time do not keep each other out for a lease', () => {
    const pair = new Pair({a: delays(300, 300), b: delays(300, 500)});
    pair.run(2000);
    expect(pair.elected).to.have.length(1);
    expect(pair.elected[0]!.at).to.be.lessThan(1500);
  });
});
