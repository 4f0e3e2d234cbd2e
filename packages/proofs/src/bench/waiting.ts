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
  readonly fraction: number;
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
const MIN_BORROW_INTERVAL_MS = 20;
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
        fraction: 0.85,
        meanMs: 40,
        priority: 8,
        deadlineMs: 5000,
      },
      {
        name: 'other',
        fraction: 0.15,
        meanMs: 400,
        priority: 4,
        deadlineMs: 30_000,
      },
    ],
  },
  {
    name: 'Karoo, one zone',
    upstreams: 8,
    entries: 2,
    kinds: [
      {
        name: 'certificate',
        fraction: 0.6,
        meanMs: 10,
        priority: 9,
        deadlineMs: 3000,
      },
      {
        name: 'moisture',
        fraction: 0.3,
        meanMs: 150,
        priority: 6,
        deadlineMs: 10_000,
      },
      {
        name: 'curve',
        fraction: 0.1,
        meanMs: 2000,
        priority: 2,
        deadlineMs: 60_000,
      },
    ],
  },
];

interface BenchRequest {
  readonly id: RequestId;
  readonly kind: RequestKind;
  readonly arrivedAt: number;
  readonly serviceMs: number;
}

/**
 * Waiting times by class, and the count of requests refused or started after
 * their deadline.
 */
class WaitStats {
  readonly byKind = new Map<string, number[]>();
  refusedOrLate = 0;
  total = 0;

  add(request: BenchRequest, waitMs: number): void {
    if (waitMs > request.kind.deadlineMs) this.refusedOrLate++;
    const samples = this.byKind.get(request.kind.name) ?? [];
    samples.push(waitMs);
    this.byKind.set(request.kind.name, samples);
  }
}

type Policy = (
  queue: EventQueue,
  user: User,
  random: Random,
  waits: WaitStats,
) => (entry: number, request: BenchRequest) => void;

/**
 * Upstream of the baseline policies; serves requests in the order of arrival.
 */
class FifoUpstream {
  private busy = 0;
  private readonly waiting: Array<{work: BenchRequest; done: () => void}> = [];

  constructor(
    private readonly queue: EventQueue,
    private readonly waits: WaitStats,
  ) {}

  offer(request: BenchRequest, done: () => void): void {
    this.waiting.push({work: request, done});
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

const randomPolicy: Policy = (queue, user, random, waits) => {
  const upstreams = Array.from(
    {length: user.upstreams},
    () => new FifoUpstream(queue, waits),
  );
  return (_entry, request) => {
    const chosen = upstreams[random.nextInt(0, upstreams.length - 1)]!;
    queue.after(HOP_MS, () => chosen.offer(request, () => undefined));
  };
};

const leastLoadedPolicy: Policy = (queue, user, _random, waits) => {
  const upstreams = Array.from(
    {length: user.upstreams},
    () => new FifoUpstream(queue, waits),
  );
  const countsByEntry = Array.from({length: user.entries}, () =>
    new Array<number>(user.upstreams).fill(0),
  );
  return (entry, request) => {
    const counts = countsByEntry[entry]!;
    const chosen = counts.indexOf(Math.min(...counts));
    counts[chosen]!++;
    queue.after(HOP_MS, () =>
      upstreams[chosen]!.offer(request, () => counts[chosen]!--),
    );
  };
};

/**
 * Production request cores and share ledger, with the zone's leader one network
 * hop away.
 */
const sharesPolicy: Policy = (queue, user, _random, waits) => {
  const ledger = new ShareLedger({startedAt: -100_000});
  for (let i = 0; i < user.upstreams; i++) announceUpstream(ledger, i);
  const entries = Array.from(
    {length: user.entries},
    (_none, i) => new BenchEntry(queue, ledger, waits, asId<HolderId>(`e${i}`)),
  );
  return (entry, request) => entries[entry]!.arrive(request);
};

const announceUpstream = (ledger: ShareLedger, i: number): void => {
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
  private readonly requests = new Map<RequestId, BenchRequest>();
  private seq = 0;
  private lastSyncAt = -MIN_BORROW_INTERVAL_MS;
  private isBorrowScheduled = false;

  constructor(
    private readonly queue: EventQueue,
    private readonly ledger: ShareLedger,
    private readonly waits: WaitStats,
    private readonly holder: HolderId,
  ) {
    this.scheduleSync();
  }

  arrive(request: BenchRequest): void {
    this.requests.set(request.id, request);
    const {kind} = request;
    const arrival = {
      id: request.id,
      service: SERVICE,
      cls: kind.name,
      priority: kind.priority,
      queueBound: 500,
      deadline: request.arrivedAt + kind.deadlineMs,
      isIdempotent: true,
    };
    this.applyEffects(
      this.core.step({kind: 'arrive', now: this.queue.now, arrival}).effects,
    );
  }

  private applyEffects(effects: readonly RequestEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'dispatch') this.dispatch(effect.id, effect.attempt);
      else if (effect.kind === 'refuse') this.waits.refusedOrLate++;
      else if (effect.kind === 'borrow') this.borrow();
    }
  }

  private dispatch(id: RequestId, attempt: string): void {
    const request = this.requests.get(id)!;
    this.requests.delete(id);
    this.queue.after(HOP_MS, () =>
      this.waits.add(request, this.queue.now - request.arrivedAt),
    );
    this.queue.after(2 * HOP_MS + request.serviceMs, () => {
      this.applyEffects(
        this.core.step({kind: 'answered', now: this.queue.now, attempt})
          .effects,
      );
    });
  }

  private borrow(): void {
    if (this.isBorrowScheduled) return;
    this.isBorrowScheduled = true;
    this.queue.after(
      Math.max(0, this.lastSyncAt + MIN_BORROW_INTERVAL_MS - this.queue.now),
      () => this.sync(),
    );
  }

  private scheduleSync(): void {
    this.queue.after(SYNC_MS, () => {
      this.sync();
      this.scheduleSync();
    });
  }

  private sync(): void {
    this.isBorrowScheduled = false;
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
        this.applyEffects(
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
  let remaining = random.nextInt(0, 999_999) / 1_000_000;
  for (const kind of kinds) {
    remaining -= kind.fraction;
    if (remaining < 0) return kind;
  }
  return kinds.at(-1)!;
};

const simulate = (
  user: User,
  load: number,
  policy: Policy,
  seed: number,
): WaitStats => {
  const queue = new EventQueue();
  const random = seededRandom(seed);
  const waits = new WaitStats();
  const accept = policy(queue, user, seededRandom(seed + 1), waits);
  queue.advance(2 * SYNC_MS);
  const meanMs = user.kinds.reduce(
    (sum, kind) => sum + kind.fraction * kind.meanMs,
    0,
  );
  const gapMs = meanMs / (load * user.upstreams * SLOTS);
  const endAt = queue.now + RUN_MS;
  const arriveNext = (): void => {
    if (queue.now >= endAt) return;
    const kind = drawKind(random, user.kinds);
    waits.total++;
    const request = {
      id: asId<RequestId>(`r${waits.total}`),
      kind,
      arrivedAt: queue.now,
      serviceMs: drawExponential(random, kind.meanMs),
    };
    accept(random.nextInt(0, user.entries - 1), request);
    queue.after(drawExponential(random, gapMs), arriveNext);
  };
  arriveNext();
  queue.advance(RUN_MS + 60_000);
  return waits;
};

const POLICIES: ReadonlyArray<readonly [string, Policy]> = [
  ['shares (ours)', sharesPolicy],
  ['FIFO, random choice', randomPolicy],
  ['least loaded', leastLoadedPolicy],
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
          const missed = round((100 * waits.refusedOrLate) / waits.total);
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
