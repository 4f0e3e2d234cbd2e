import {expect} from 'chai';
import type {AuthorityMessage, GrantorProcess} from '@primrosewick/protocol';
import {
  asEpoch,
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

/** Random source with one delay for the first draw and another for all later ones. */
const delays = (firstMs: number, laterMs: number): Random => {
  let isFirst = true;
  const nextInt = (): number => {
    const delayMs = isFirst ? firstMs : laterMs;
    isFirst = false;
    return delayMs;
  };
  return {nextInt} as unknown as Random;
};

/** A grantor that started at a time and does not wait for earlier leases to expire. */
const makeGrantor = (boot: string, startedAt = 0): Grantor =>
  new Grantor({boot, startedAt, earliestGrantAt: 0, driftMs: 200});

/** Two candidates of a zone whose third VM is down, on a slow network. */
class CandidatePair {
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
      const grantor = makeGrantor(name);
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

/** A candidate of a zone of three VMs, whose peer `c` replies when the test says so. */
class Candidate {
  readonly core: AuthorityCore;
  effects: AuthorityEffects = {sends: [], changes: []};

  constructor(
    private readonly peer = makeGrantor('c1'),
    own = makeGrantor('a1'),
  ) {
    this.core = new AuthorityCore({
      vm: 'a' as VmId,
      ordinal: 0,
      group: {
        zone: ZONE,
        grantors: ['a', 'b', 'c'] as VmId[],
        candidates: ['a', 'b', 'c'] as VmId[],
      },
      grantor: own,
      random: delays(300, 300),
      now: 0,
    });
  }

  tick(now: number): void {
    this.effects = this.core.step({kind: 'tick', now, wall: WALL});
  }

  /** Delivers the last message to the peer, and its reply to the candidate. */
  answer(now: number): void {
    const send = this.effects.sends.find(({to}) => to === 'c');
    if (!send) return;
    const {to: from, round, message} = send;
    const reply = this.peer.handle('a' as VmId, message, now);
    this.effects = this.core.step({kind: 'reply', now, from, round, reply});
  }

  resign(now: number): AuthorityMessage[] {
    const handover = NOTHING_LENT;
    const {sends} = this.core.step({kind: 'resign', now, handover});
    return sends.map(({message}) => message);
  }

  /** Whether the last step elected it with inherited shares. */
  get inherits(): boolean {
    return this.effects.changes.some(
      change => change.kind === 'elected' && change.inherited !== undefined,
    );
  }
}

/** A peer that received at a time the release of `b`, which had led since time 0. */
const peerWithRelease = (
  at: number,
  witnesses: readonly GrantorProcess[],
): Grantor => {
  const peer = makeGrantor('c1');
  const epoch = asEpoch(5);
  peer.handle('b' as VmId, {kind: 'vote', zone: ZONE, epoch, leaseMs: 3000}, 0);
  peer.handle(
    'b' as VmId,
    {
      kind: 'release',
      zone: ZONE,
      epoch,
      why: {kind: 'stopped', handover: NOTHING_LENT, witnesses},
    },
    at,
  );
  return peer;
};

const processOf = (vm: string, boot: string): GrantorProcess => ({
  vm: vm as VmId,
  boot,
});

const reasonsOf = (messages: readonly AuthorityMessage[]): string[] =>
  messages.flatMap(message =>
    message.kind === 'release' ? [message.why.kind] : [],
  );

describe('authority core', () => {
  it('a candidate that stops while it votes is not elected', () => {
    const candidate = new Candidate();
    candidate.tick(300);
    candidate.answer(302);
    expect(reasonsOf(candidate.resign(305))).to.eql(['not_led', 'not_led']);
    candidate.answer(310);
    expect(candidate.core.epochAt(310)).to.equal(undefined);
  });
  it('a candidate that stops while it prepares requests no vote', () => {
    const candidate = new Candidate();
    candidate.tick(300);
    candidate.resign(305);
    candidate.answer(310);
    expect(candidate.effects.sends).to.eql([]);
  });
  it('a leader that stops hands over its lent shares', () => {
    const candidate = new Candidate();
    candidate.tick(300);
    candidate.answer(305);
    candidate.answer(310);
    expect(reasonsOf(candidate.resign(400))).to.eql(['stopped', 'stopped']);
  });
  it('a leader that was suspended past its lease hands nothing over', () => {
    const candidate = new Candidate();
    candidate.tick(300);
    candidate.answer(305);
    candidate.answer(310);
    expect(reasonsOf(candidate.resign(5000))).to.eql([]);
  });
  it('a leader that stops names the grantors that replied to it as witnesses', () => {
    const candidate = new Candidate();
    candidate.tick(2000);
    for (const at of [2005, 2010, 2015]) candidate.answer(at);
    const [release] = candidate.resign(2020);
    expect(release)
      .to.have.nested.property('why.witnesses')
      .that.eql([processOf('a', 'a1'), processOf('c', 'c1')]);
  });
  it('a grantor that has only just started is not a witness', () => {
    const candidate = new Candidate(makeGrantor('c1', 1500));
    candidate.tick(2000);
    for (const at of [2005, 2010, 2015]) candidate.answer(at);
    const [release] = candidate.resign(2020);
    expect(release)
      .to.have.nested.property('why.witnesses')
      .that.eql([processOf('a', 'a1')]);
  });
  it('a leader inherits lent shares if all grantors that elected it are witnesses', () => {
    const witnesses = [processOf('a', 'a1'), processOf('c', 'c1')];
    const candidate = new Candidate(peerWithRelease(5000, witnesses));
    candidate.tick(6000);
    for (const at of [6005, 6010]) candidate.answer(at);
    expect(candidate.inherits).to.equal(true);
  });
  it('a leader inherits no shares that a suspended grantor received late, if another restarted', () => {
    const witnesses = [processOf('a', 'a1'), processOf('c', 'c1')];
    const restarted = makeGrantor('a2', 1100);
    const candidate = new Candidate(
      peerWithRelease(5000, witnesses),
      restarted,
    );
    candidate.tick(6000);
    for (const at of [6005, 6010]) candidate.answer(at);
    expect(candidate.core.epochAt(6010)).to.not.equal(undefined);
    expect(candidate.inherits).to.equal(false);
  });
  it('a vote that is won too late is abandoned', () => {
    const candidate = new Candidate();
    candidate.tick(300);
    candidate.answer(305);
    candidate.answer(1200);
    expect(candidate.core.epochAt(1200)).to.equal(undefined);
  });
  it('candidates that vote at the same time do not block each other for a whole lease', () => {
    const pair = new CandidatePair({a: delays(300, 300), b: delays(300, 500)});
    pair.run(2000);
    expect(pair.elected).to.have.length(1);
    expect(pair.elected[0]!.at).to.be.lessThan(1500);
  });
});
