import type {AttemptCall, AttemptResult} from '@primrosewick/coordination';
import type {UpstreamAnnouncement} from '@primrosewick/protocol';
import {
  asId,
  type AttemptId,
  type ServiceName,
  type UpstreamId,
  type ZoneId,
} from '@primrosewick/state';
import {UpstreamCore} from '@primrosewick/standins';
import {SimProcess} from '../world/process.js';
import type {ZoneWorld} from './zone_world.js';

const ANNOUNCE_MS = 500;
/** Time until a caller notices that a connection is broken, in ms. */
const BREAK_NOTICE_MS = 300;

/** An upstream at a fixed address, on virtual time. */
export class SimUpstream {
  private starts = 0;
  private core: UpstreamCore;
  private crashHandlers = new Map<AttemptId, () => void>();
  process = new SimProcess();
  id: UpstreamId;
  /** Time at which it began to leave; infinite while it serves. */
  leavingSince = Number.POSITIVE_INFINITY;

  constructor(
    readonly address: string,
    private readonly slots: number,
    private readonly service: ServiceName,
    private readonly zone: ZoneId,
    private readonly world: ZoneWorld,
  ) {
    this.core = new UpstreamCore(slots);
    this.id = this.newId();
    this.announceLater(this.process);
  }

  /** Kills the process with all requests that it runs. */
  crash(): void {
    this.process.kill();
    for (const onCrash of this.crashHandlers.values()) onCrash();
    this.crashHandlers.clear();
  }

  /** Starts a new process at the same address. */
  restart(): void {
    if (this.process.isAlive) this.crash();
    this.process = new SimProcess();
    this.core = new UpstreamCore(this.slots);
    this.id = this.newId();
    this.leavingSince = Number.POSITIVE_INFINITY;
    this.announceLater(this.process);
  }

  /** Stops accepting new requests and announces that. */
  leave(): void {
    if (this.core.isLeaving) return;
    this.core.isLeaving = true;
    this.leavingSince = this.world.queue.now;
    this.process.run(() => this.announce());
  }

  /** Serves an attempt; `reply` gets the result, unless the network fails. */
  serve(call: AttemptCall, reply: (result: AttemptResult) => void): void {
    if (!this.process.isAlive) return reply({kind: 'unreachable'});
    this.process.run(() => this.begin(call, reply));
  }

  /** Aborts an attempt. */
  end(attempt: AttemptId, done: () => void): void {
    if (!this.process.isAlive) return done();
    this.process.run(() => {
      this.core.abort(attempt);
      done();
    });
  }

  private begin(
    call: AttemptCall,
    reply: (result: AttemptResult) => void,
  ): void {
    if (call.upstream !== this.id) return reply({kind: 'refused'});
    const {queue, oracle} = this.world;
    const {process} = this;
    const [id, serviceMs] = call.request.path.slice(1).split('?ms=') as [
      string,
      string,
    ];
    const finish = (result: AttemptResult): void => {
      if (!this.crashHandlers.delete(call.attempt)) return;
      this.core.end(call.attempt);
      reply(result);
    };
    this.crashHandlers.set(call.attempt, () =>
      queue.after(BREAK_NOTICE_MS, () => reply({kind: 'lost'})),
    );
    const hasBegun = this.core.begin({
      attempt: call.attempt,
      holder: call.holder,
      abort: () => finish({kind: 'lost'}),
    });
    if (!hasBegun) return finish({kind: 'refused'});
    oracle.addRun(id, this.id, queue.now);
    this.checkSlots();
    queue.after(Number(serviceMs), () =>
      process.run(() =>
        finish({
          kind: 'answered',
          answer: {status: 200, headers: {}, body: Buffer.from(id)},
        }),
      ),
    );
  }

  private checkSlots(): void {
    const {oracle, queue} = this.world;
    if (this.core.size > this.slots)
      oracle.addViolation(
        `${this.id} was given ${this.core.size} requests for ${this.slots} slots at ${queue.now}`,
      );
    if (this.world.isFaultFree && queue.now > this.leavingSince + LEAVING_MS) {
      oracle.addViolation(
        `${this.id} got a new request ${queue.now - this.leavingSince} ms after it began to leave`,
      );
    }
  }

  private announceLater(process: SimProcess): void {
    this.world.queue.after(ANNOUNCE_MS, () => {
      process.run(() => {
        this.announce();
        this.announceLater(process);
      });
    });
  }

  private announce(): void {
    const report: UpstreamAnnouncement = {
      upstream: this.id,
      service: this.service,
      zone: this.zone,
      address: this.address,
      slots: this.slots,
      connections: 60,
      state: this.core.isLeaving ? 'leaving' : 'serving',
      seq: this.core.nextSeq(),
      inFlight: this.core.inFlight(),
    };
    this.world.sendToRandomVm(
      this.address,
      vm => void vm.leader.announceUpstream(report).catch(() => undefined),
    );
  }

  private newId(): UpstreamId {
    this.starts++;
    return asId<UpstreamId>(`${this.address}-${this.starts}`);
  }
}

/** Time after which a leaving upstream must get no new requests, in ms. */
const LEAVING_MS = 2000;
