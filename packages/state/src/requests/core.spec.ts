import {expect} from 'chai';
import {
  asId,
  type RequestId,
  type ServiceName,
  type UpstreamId,
} from '../ids/types.js';
import {RequestCore} from './core.js';
import type {
  Arrival,
  AttemptFailure,
  RequestEffect,
  RequestLimits,
} from './types.js';

const DESK = asId<ServiceName>('desk');

/** A request core with helpers that feed it events. */
class Harness {
  readonly core: RequestCore;

  constructor(limits: Partial<RequestLimits> = {}) {
    this.core = new RequestCore(limits);
  }

  share(
    now: number,
    slots: Record<string, number>,
    deadline = now + 10_000,
  ): RequestEffect[] {
    const shares = Object.entries(slots).map(([name, count]) => ({
      upstream: asId<UpstreamId>(name),
      service: DESK,
      address: name,
      slots: count,
      connections: 60,
    }));
    const update = {
      lender: 'z',
      shares,
      deadline,
      isComplete: true,
      roundTripMs: 0,
    };
    return [...this.core.step({kind: 'shares', now, update}).effects];
  }

  arrive(
    now: number,
    id: string,
    more: Partial<Arrival> = {},
  ): RequestEffect[] {
    const arrival: Arrival = {
      id: asId<RequestId>(id),
      service: DESK,
      cls: 'all',
      priority: 1,
      queueBound: 3,
      deadline: now + 5000,
      isIdempotent: false,
      ...more,
    };
    return [...this.core.step({kind: 'arrive', now, arrival}).effects];
  }

  renew(now: number) {
    const {effects} = this.core.step({
      kind: 'renew',
      now,
      lender: 'z',
      services: [DESK],
    });
    return effects.flatMap(effect =>
      effect.kind === 'sync' ? effect.held : [],
    );
  }

  answered(now: number, attempt: string): RequestEffect[] {
    return [...this.core.step({kind: 'answered', now, attempt}).effects];
  }

  failed(
    now: number,
    attempt: string,
    failure: AttemptFailure,
  ): RequestEffect[] {
    return [...this.core.step({kind: 'failed', now, attempt, failure}).effects];
  }
}

const dispatched = (effects: readonly RequestEffect[]): string[] =>
  effects.flatMap(effect =>
    effect.kind === 'dispatch' ? [effect.attempt] : [],
  );
const refused = (effects: readonly RequestEffect[]): string[] =>
  effects.flatMap(effect =>
    effect.kind === 'refuse'
      ? [`${effect.id} ${effect.code} ${effect.outcome}`]
      : [],
  );

describe('request core', () => {
  it('a queued request with too little time left is refused unsent', () => {
    const harness = new Harness();
    harness.arrive(0, 'r1', {deadline: 6000});
    const effects = harness.share(5960, {a: 2});
    expect(dispatched(effects)).to.deep.equal([]);
    expect(refused(effects)).to.deep.equal(['r1 deadline_unreachable not_run']);
  });
  it('an idempotent request is sent while the usual time of its class is left', () => {
    const harness = new Harness();
    harness.share(0, {a: 1});
    harness.arrive(0, 'r1');
    harness.answered(100, 'r1/1');
    harness.share(200, {});
    harness.arrive(200, 'r2', {deadline: 6200, isIdempotent: true});
    expect(dispatched(harness.share(6000, {a: 1}))).to.have.length(1);
  });
  it('a request is sent to the upstream with the most free slots', () => {
    const harness = new Harness();
    harness.share(0, {x: 1, y: 2});
    expect(harness.arrive(1, 'r1')[0]).to.include({
      kind: 'dispatch',
      upstream: 'y',
    });
  });
  it('a share is not used after its end', () => {
    const harness = new Harness();
    harness.share(0, {x: 1}, 1000);
    expect(dispatched(harness.arrive(960, 'r1'))).to.deep.equal([]);
    expect(dispatched(harness.share(970, {x: 1}, 2000))).to.deep.equal([
      'r1/1',
    ]);
  });
  it('a queued request of a class of higher priority is dispatched first', () => {
    const harness = new Harness();
    harness.share(0, {x: 1});
    harness.arrive(1, 'r1');
    harness.arrive(2, 'curve', {cls: 'curve'});
    harness.arrive(3, 'certificate', {cls: 'certificate', priority: 9});
    expect(dispatched(harness.answered(10, 'r1/1'))).to.deep.equal([
      'certificate/1',
    ]);
  });
  it('an arrival is refused at once when the queue of its class is full', () => {
    const harness = new Harness();
    for (const id of ['r1', 'r2', 'r3']) harness.arrive(0, id);
    expect(refused(harness.arrive(1, 'r4'))).to.deep.equal([
      'r4 queue_full not_run',
    ]);
  });
  it('a request that cannot make its deadline is refused at once', () => {
    const harness = new Harness();
    harness.share(0, {x: 1});
    harness.arrive(0, 'r1');
    harness.answered(1000, 'r1/1');
    harness.arrive(1001, 'r2');
    expect(refused(harness.arrive(1002, 'r3', {deadline: 2500}))).to.deep.equal(
      ['r3 deadline_unreachable not_run'],
    );
  });
  it('a request whose attempt was lost is retried only if it is idempotent', () => {
    const harness = new Harness();
    harness.share(0, {x: 2, y: 2});
    harness.arrive(1, 'post');
    harness.arrive(1, 'get', {isIdempotent: true});
    expect(refused(harness.failed(2, 'post/1', 'lost'))).to.deep.equal([
      'post upstream_lost unknown',
    ]);
    expect(dispatched(harness.failed(2, 'get/1', 'lost'))).to.deep.equal([
      'get/2',
    ]);
  });
  it('a retry goes to an upstream not tried before', () => {
    const harness = new Harness();
    harness.share(0, {x: 3, y: 1});
    harness.arrive(1, 'r1');
    expect(
      harness
        .failed(2, 'r1/1', 'unreachable')
        .find(({kind}) => kind === 'dispatch'),
    ).to.include({upstream: 'y'});
  });
  it('retries stay within their budget', () => {
    const harness = new Harness({retryBurst: 1, retryRatio: 0});
    harness.share(0, {x: 9});
    harness.arrive(1, 'r1');
    harness.arrive(1, 'r2');
    expect(dispatched(harness.failed(2, 'r1/1', 'unreachable'))).to.deep.equal([
      'r1/2',
    ]);
    expect(refused(harness.failed(3, 'r2/1', 'unreachable'))).to.deep.equal([
      'r2 upstream_unreachable not_run',
    ]);
  });
  it('a slot stays occupied until its attempt is known to have ended', () => {
    const harness = new Harness();
    harness.share(0, {x: 1});
    harness.arrive(1, 'r1');
    harness.failed(2, 'r1/1', 'lost');
    expect(dispatched(harness.arrive(3, 'r2'))).to.deep.equal([]);
    expect(
      dispatched([
        ...harness.core.step({kind: 'ended', now: 4, attempt: 'r1/1'}).effects,
      ]),
    ).to.deep.equal(['r2/1']);
  });
  it('an answer after the deadline is dropped', () => {
    const harness = new Harness();
    harness.share(0, {x: 1});
    harness.arrive(1, 'r1', {deadline: 100});
    expect(
      refused([...harness.core.step({kind: 'tick', now: 100}).effects]),
    ).to.deep.equal(['r1 upstream_timeout unknown']);
    expect(harness.answered(101, 'r1/1')).to.deep.equal([
      {kind: 'drop_answer', attempt: 'r1/1'},
    ]);
  });
  it('idle slots are returned, and slots in use are not', () => {
    const harness = new Harness({spareSlots: 1});
    harness.share(0, {x: 5});
    harness.arrive(1, 'r1');
    expect(harness.renew(2)).to.deep.equal([{upstream: 'x', slots: 2}]);
  });
  it('an expired share is reported with only the slots in use', () => {
    const harness = new Harness();
    harness.share(0, {x: 5}, 1000);
    harness.arrive(1, 'r1');
    expect(harness.renew(1000)).to.deep.equal([{upstream: 'x', slots: 1}]);
  });
  it('slots of another zone are wanted only while the local wait exceeds the round trip', () => {
    const harness = new Harness({spareSlots: 0});
    harness.share(0, {x: 1});
    harness.arrive(0, 'r1');
    harness.answered(100, 'r1/1');
    const wants = (now: number): number => {
      const foreign = {
        roundTripMs: 20,
        margins: [{service: DESK, marginMs: 60}],
      };
      const {effects} = harness.core.step({
        kind: 'renew',
        now,
        lender: 'far',
        services: [DESK],
        foreign,
      });
      return (
        effects.flatMap(effect =>
          effect.kind === 'sync' ? effect.wants : [],
        )[0]?.slots ?? 0
      );
    };
    expect(wants(101)).to.equal(0);
    for (const id of ['r2', 'r3']) harness.arrive(102, id);
    expect(wants(103)).to.equal(1);
    harness.answered(104, 'r2/1');
    expect(wants(105)).to.equal(0);
  });
});
