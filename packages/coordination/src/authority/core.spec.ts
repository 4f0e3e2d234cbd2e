import {expect} from 'chai';
import {asId, type Random, type VmId, type ZoneId} from '@primrosewick/state';
import {AuthorityCore} from './core.js';
import {Grantor} from './grantor.js';

const ZONE = asId<ZoneId>('z');
const STEP_MS = 10;
const DELAY_MS = 10;

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
        this.step(vm, {kind: 'tick', now: this.now, wall: 1_800_000_000_000});
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

describe('authority core', () => {
  it('candidates that vote at the same time do not keep each other out for a lease', () => {
    const pair = new Pair({a: delays(300, 300), b: delays(300, 500)});
    pair.run(2000);
    expect(pair.elected).to.have.length(1);
    expect(pair.elected[0]!.at).to.be.lessThan(1500);
  });
});
