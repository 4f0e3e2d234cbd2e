/**
 * Waiting time by class, compared with two baseline policies, on virtual time
 * from one seed.
 */
import {
  RequestCore,
  ShareLedger,
  asId,
  seededRandom,
  type HolderId,
  type Random,
  type RequestEffect,
  type RequestId,
  type ServiceName,
  type UpstreamId,
} from '@primrosewick/state';
import {EventQueue} from '../world/event_queue.js';
import {quantile, round, type Table} from './report.js';

interface RequestKind {
  readonly name: string;
  /** Fraction of the arrivals. */
  readonly part: number;
  readonly meanMs: number;
  readonly priority: number;
  readonly deadlineMs: number;
}

interface User {
  readonly name: string;
  readonly upstreams: number;
  readonly entries: number;
  readonly kinds: readonly RequestKind[];
}

const SLOTS = 8;
const RUN_MS = 30_000;
const HOP_MS = 0.5;
const SYNC_MS = 500;
const BORROW_GAP_MS = 20;
const SERVICE = asId<ServiceName>('bench');
const LOADS = [0.5, 0.8, 0.95, 1.2];

const USERS: readonly User[] = [
  {
    name: 'Association, one zone',
    upstreams: 10,
    entries: 3,
    kinds: [
      {
        name: 'availability',
        part: 0.85,
        meanMs: 40,
        priority: 8,
        deadlineMs: 5000,
      },
      {name: 'other', part: 0.15, meanMs: 400, priority: 4, deadlineMs: 30_000},
    ],
  },
  {
    name: 'Karoo, one zone',
    upstreams: 8,
    entries: 2,
    kinds: [
      {
        name: 'certificate',
        part: 0.6,
        meanMs: 10,
        priority: 9,
        deadlineMs: 3000,
      },
      {
        name: 'moisture',
        part: 0.3,
        meanMs: 150,
        priority: 6,
        deadlineMs: 10_000,
      },
      {name: 'curve', part: 0.1, meanMs: 2000, priority: 2, deadlineMs: 60_000},
    ],
  },
];

interface Work {
  readonly id: RequestId;
  readonly kind: RequestKind;
  readonly arrivedAt: number;
  readonly serviceMs: number;
}

/**
 * Waiting times by class, and the count of requests refused or started after
 * their deadline.
 */
class Waits {
  readonly byKind = new Map<string, number[]>();
  missed = 0;
  total = 0;

  add(work: Work, waitMs: number): void {
    if (waitMs > work.kind.deadlineMs) this.missed++;
    const samples = this.byKind.get(work.kind.name) ?? [];
    samples.push(waitMs);
    this.byKind.set(work.kind.name, samples);
  }
}

type Policy = (
  queue: EventQueue,
  user: User,
  random: Random,
  waits: Waits,
) => (entry: number, work: Work) => void;

/**
 * Upstream of the baseline policies; serves requests in the order of arrival.
 */
class FifoUpstream {
  private busy = 0;
  private readonly waiting: Array<{work: Work; done: () => void}> = [];

  constructor(
    private readonly queue: EventQueue,
    private readonly waits: Waits,
  ) {}

  offer(work: Work, done: () => void): void {
    this.waiting.push({work, done});
    this.serve();
  }

  private serve(): void {
    while (this.busy < SLOTS) {
      const next = this.waiting.shift();
      if (!next) return;
      this.busy++;
      this.waits.add(next.work, this.queue.now - next.work.arrivedAt);
      this.queue.after(next.work.serviceMs, () => {
        this.busy--;
        next.done();
        this.serve();
      });
    }
  }
}

const randomChoice: Policy = (queue, user, random, waits) => {
  const upstreams = Array.from(
    {length: user.upstreams},
    () => new FifoUpstream(queue, waits),
  );
  return (_entry, work) => {
    const chosen = upstreams[random.nextInt(0, upstreams.length - 1)]!;
    queue.after(HOP_MS, () => chosen.offer(work, () => undefined));
  };
};

const leastLoaded: Policy = (queue, user, _random, waits) => {
  const upstreams = Array.from(
    {length: user.upstreams},
    () => new FifoUpstream(queue, waits),
  );
  const counts = Array.from({length: user.entries}, () =>
    new Array<number>(user.upstreams).fill(0),
  );
  return (entry, work) => {
    const own = counts[entry]!;
    const chosen = own.indexOf(Math.min(...own));
    own[chosen]!++;
    queue.after(HOP_MS, () =>
      upstreams[chosen]!.offer(work, () => own[chosen]!--),
    );
  };
};

/**
 * Production request cores and share ledger, with the zone's leader one network
 * hop away.
 */
const shares: Policy = (queue, user, _random, waits) => {
  const ledger = new ShareLedger({startedAt: -100_000});
  for (let i = 0; i < user.upstreams; i++) announce(ledger, i);
  const entries = Array.from(
    {length: user.entries},
    (_none, i) => new BenchEntry(queue, ledger, waits, asId<HolderId>(`e${i}`)),
  );
  return (entry, work) => entries[entry]!.arrive(work);
};

const announce = (ledger: ShareLedger, i: number): void => {
  const report = {
    upstream: asId<UpstreamId>(`u${i}`),
    service: SERVICE,
    address: `u${i}`,
    slots: SLOTS,
    connections: 60,
    state: 'serving' as const,
    seq: 1,
    inFlight: [],
  };
  ledger.step({kind: 'announce', now: 10 * RUN_MS, report});
};

class BenchEntry {
  private readonly core = new RequestCore({maxRequests: 100_000});
  private readonly works = new Map<RequestId, Work>();
  private seq = 0;
  private lastSyncAt = -BORROW_GAP_MS;
  private isBorrowDue = false;

  constructor(
    private readonly queue: EventQueue,
    private readonly ledger: ShareLedger,
    private readonly waits: Waits,
    private readonly holder: HolderId,
  ) {
    this.syncLater();
  }

  arrive(work: Work): void {
    this.works.set(work.id, work);
    const {kind} = work;
    const arrival = {
      id: work.id,
      service: SERVICE,
      cls: kind.name,
      priority: kind.priority,
      queueBound: 500,
      deadline: work.arrivedAt + kind.deadlineMs,
      isIdempotent: true,
    };
    this.carryOut(
      this.core.step({kind: 'arrive', now: this.queue.now, arrival}).effects,
    );
  }

  private carryOut(effects: readonly RequestEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'dispatch') this.dispatch(effect.id, effect.attempt);
      else if (effect.kind === 'refuse') this.waits.missed++;
      else if (effect.kind === 'borrow') this.borrow();
    }
  }

  private dispatch(id: RequestId, attempt: string): void {
    const work = this.works.get(id)!;
    this.works.delete(id);
    this.queue.after(HOP_MS, () =>
      this.waits.add(work, this.queue.now - work.arrivedAt),
    );
    this.queue.after(2 * HOP_MS + work.serviceMs, () => {
      this.carryOut(
        this.core.step({kind: 'answered', now: this.queue.now, attempt})
          .effects,
      );
    });
  }

  private borrow(): void {
    if (this.isBorrowDue) return;
    this.isBorrowDue = true;
    this.queue.after(
      Math.max(0, this.lastSyncAt + BORROW_GAP_MS - this.queue.now),
      () => this.sync(),
    );
  }

  private syncLater(): void {
    this.queue.after(SYNC_MS, () => {
      this.sync();
      this.syncLater();
    });
  }

  private sync(): void {
    this.isBorrowDue = false;
    this.lastSyncAt = this.queue.now;
    const sentAt = this.queue.now;
    const {effects} = this.core.step({
      kind: 'renew',
      now: sentAt,
      lender: 'z',
      services: [SERVICE],
    });
    const sync = effects.find(effect => effect.kind === 'sync')!;
    const request = {
      holder: this.holder,
      seq: ++this.seq,
      held: sync.held,
      wants: sync.wants,
      isForeign: false,
    };
    this.queue.after(HOP_MS, () => {
      const answer = this.ledger.step({
        kind: 'sync',
        now: this.queue.now,
        request,
        openServices: [SERVICE],
      });
      this.queue.after(HOP_MS, () => {
        const update = {
          lender: 'z',
          shares: answer.shares,
          deadline: sentAt + 3000,
          isComplete: true,
          roundTripMs: 0,
        };
        this.carryOut(
          this.core.step({kind: 'shares', now: this.queue.now, update}).effects,
        );
      });
    });
  }
}

const drawExponential = (random: Random, mean: number): number => {
  const uniform = (random.nextInt(0, (1 << 30) - 1) + 1) / (1 << 30);
  return -mean * Math.log(uniform);
};

const drawKind = (
  random: Random,
  kinds: readonly RequestKind[],
): RequestKind => {
  let left = random.nextInt(0, 999_999) / 1_000_000;
  for (const kind of kinds) {
    left -= kind.part;
    if (left < 0) return kind;
  }
  return kinds.at(-1)!;
};

const simulate = (
  user: User,
  load: number,
  policy: Policy,
  seed: number,
): Waits => {
  const queue = new EventQueue();
  const random = seededRandom(seed);
  const waits = new Waits();
  const accept = policy(queue, user, seededRandom(seed + 1), waits);
  queue.advance(2 * SYNC_MS);
  const meanMs = user.kinds.reduce(
    (sum, kind) => sum + kind.part * kind.meanMs,
    0,
  );
  const gapMs = meanMs / (load * user.upstreams * SLOTS);
  const end = queue.now + RUN_MS;
  const arriveNext = (): void => {
    if (queue.now >= end) return;
    const kind = drawKind(random, user.kinds);
    waits.total++;
    const work = {
      id: asId<RequestId>(`r${waits.total}`),
      kind,
      arrivedAt: queue.now,
      serviceMs: drawExponential(random, kind.meanMs),
    };
    accept(random.nextInt(0, user.entries - 1), work);
    queue.after(drawExponential(random, gapMs), arriveNext);
  };
  arriveNext();
  queue.advance(RUN_MS + 60_000);
  return waits;
};

const POLICIES: ReadonlyArray<readonly [string, Policy]> = [
  ['shares (ours)', shares],
  ['FIFO, random choice', randomChoice],
  ['least loaded', leastLoaded],
];

/**
 * Measures the waiting time at each load, with one row per policy and class.
 */
export const benchWaiting = (seed: number): Table => {
  const rows: Array<Array<string | number>> = [];
  for (const user of USERS) {
    for (const load of LOADS) {
      for (const [name, policy] of POLICIES) {
        const waits = simulate(user, load, policy, seed);
        for (const {name: kind} of user.kinds) {
          const samples = waits.byKind.get(kind) ?? [];
          const missed = round((100 * waits.missed) / waits.total);
          rows.push([
            user.name,
            `${load * 100} %`,
            kind,
            name,
            round(quantile(samples, 0.5)),
            round(quantile(samples, 0.99)),
            missed,
          ]);
        }
      }
    }
  }
  return {
    heading: `Waiting time by class (seed ${seed}, virtual time)`,
    columns: [
      'user',
      'load',
      'class',
      'policy',
      'p50 ms',
      'p99 ms',
      'refused or late, % of all',
    ],
    rows,
  };
};
