/** Keeps the replica of a VM without a disk current by following another VM. */
import type {FollowReply} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';
import {pause, type Clock, type PeerCaller} from '@primrosewick/transport';
import type {ReplicaTask} from '../replica/task.js';

/** Options of the task. */
export interface FollowTaskOptions {
  readonly replica: ReplicaTask;
  readonly peers: PeerCaller;
  readonly clock: Clock;
  readonly boot: string;
  /** VMs to follow, in order of preference. */
  readonly sources: readonly VmId[];
  /** Voter VMs of the log. */
  readonly voters: readonly VmId[];
}

const LONG_POLL_MS = 2000;
const RETRY_PAUSE_MS = 200;
/** Staleness of a source above which another one is used, in ms. */
const MAX_SOURCE_STALE_MS = 6000;
/** Time without the log's leader after which a source's state is served unconfirmed, in ms. */
const UNREACHABLE_LOG_MS = 3000;
/** Time after which the preferred source is retried, in ms. */
const PREFERRED_RETRY_MS = 10_000;

/** Follows one VM at a time, and switches to the next when it fails or is too stale. */
export class FollowTask {
  private at = 0;
  private isStopped = false;
  private retryPreferredAt = 0;

  constructor(private readonly options: FollowTaskOptions) {}

  /** Follows until `stop` is called. */
  async run(): Promise<void> {
    void this.enableReadsWhenCurrent();
    while (!this.isStopped) {
      const isUsable = await this.followOnce();
      if (!isUsable) await this.switchSource();
      else this.retryPreferredSource();
    }
  }

  /** Stops after the current call. */
  stop(): void {
    this.isStopped = true;
  }

  private async followOnce(): Promise<boolean> {
    const {replica, peers, clock, boot, sources} = this.options;
    const source = sources[this.at];
    if (!source) return false;
    const sinceIndex = replica.replica.index;
    try {
      const reply = await peers.call(source, 'follow', {
        sinceIndex,
        waitMs: LONG_POLL_MS,
        boot,
      });
      return this.take(reply, clock.now());
    } catch {
      return false;
    }
  }

  private take(reply: FollowReply, now: number): boolean {
    const {replica} = this.options;
    if (reply.kind === 'not_ready') return false;
    if (reply.kind === 'image') replica.restore(reply.image);
    else for (const entry of reply.entries) replica.apply(entry);
    const staleMs = reply.staleMs ?? 0;
    if (replica.replica.index >= reply.commitIndex)
      replica.noteFresh(now - staleMs);
    return staleMs <= MAX_SOURCE_STALE_MS;
  }

  private async switchSource(): Promise<void> {
    const {sources, clock} = this.options;
    if (this.at === 0) this.retryPreferredAt = clock.now() + PREFERRED_RETRY_MS;
    this.at = (this.at + 1) % Math.max(1, sources.length);
    await pause(clock, RETRY_PAUSE_MS);
  }

  private retryPreferredSource(): void {
    if (this.at === 0 || this.options.clock.now() < this.retryPreferredAt)
      return;
    this.at = 0;
  }

  /**
   * Enables reads once the replica has all entries committed before the start,
   * or once the log has been unreachable for some time and a source has sent its
   * state.
   */
  private async enableReadsWhenCurrent(): Promise<void> {
    const {replica, clock} = this.options;
    const unreachableAt = clock.now() + UNREACHABLE_LOG_MS;
    let required: number | undefined;
    while (!this.isStopped && !replica.isReady) {
      required ??= await this.readIndex();
      const isCurrent =
        required !== undefined && replica.replica.index >= required;
      const isLogUnreachable =
        required === undefined &&
        clock.now() >= unreachableAt &&
        replica.replica.index > 0;
      if (isCurrent || isLogUnreachable) replica.open();
      else await pause(clock, RETRY_PAUSE_MS / 4);
    }
  }

  private async readIndex(): Promise<number | undefined> {
    const {peers, voters, boot} = this.options;
    for (const vm of voters) {
      const reply = await peers
        .call(vm, 'readIndex', {boot})
        .catch(() => undefined);
      if (reply?.kind === 'ok') return reply.value.index;
    }
    return undefined;
  }
}
