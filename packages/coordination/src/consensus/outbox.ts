/** Sends the messages of one node: as answers to calls of others, or as calls. */
import {vmOfNode, type VmId} from '@primrosewick/state';
import {EntryPacker, type PackedEnvelope} from './packing.js';
import type {Envelope} from './types.js';

/** Carries messages of the log to other VMs. */
export interface LogPeers {
  call(
    to: VmId,
    method: 'consensus',
    request: {readonly envelopes: readonly unknown[]},
  ): Promise<{readonly envelopes: readonly unknown[]}>;
}

/** A VM that waits for the messages that its own led to. */
export interface WaitingCaller<C> {
  readonly vm: VmId;
  readonly resolve: (envelopes: ReadonlyArray<PackedEnvelope<C>>) => void;
}

/** Options of a mailbox. */
export interface OutboxOptions<C> {
  readonly peers: LogPeers;
  /** Called with what another VM answered to a call. */
  readonly onReply: (envelopes: ReadonlyArray<PackedEnvelope<C>>) => void;
}

/** Messages on their way out. */
export class Outbox<C> {
  private collectors: Array<WaitingCaller<C>> = [];
  private readonly packer = new EntryPacker<C>();

  constructor(private readonly options: OutboxOptions<C>) {}

  /** Notes a VM that waits. */
  addCaller(collector: WaitingCaller<C>): void {
    this.collectors.push(collector);
  }

  /** The VMs that wait, which get the messages of the next step. */
  takeCallers(): ReadonlyArray<WaitingCaller<C>> {
    const {collectors} = this;
    this.collectors = [];
    return collectors;
  }

  /** Answers all that wait with nothing. */
  close(): void {
    for (const {resolve} of this.takeCallers()) resolve([]);
  }

  /** Answers the VMs that wait for their messages, and calls the others. */
  send(
    envelopes: ReadonlyArray<Envelope<C>>,
    collectors: ReadonlyArray<WaitingCaller<C>>,
  ): void {
    const byVm = new Map<VmId, Array<PackedEnvelope<C>>>();
    for (const envelope of envelopes) {
      const vm = vmOfNode(envelope.to);
      const batch = byVm.get(vm);
      const packed = this.packer.pack(envelope);
      if (batch) batch.push(packed);
      else byVm.set(vm, [packed]);
    }
    for (const {vm, resolve} of collectors) {
      resolve(byVm.get(vm) ?? []);
      byVm.delete(vm);
    }
    for (const [vm, batch] of byVm) void this.call(vm, batch);
  }

  private async call(
    vm: VmId,
    envelopes: ReadonlyArray<PackedEnvelope<C>>,
  ): Promise<void> {
    try {
      const reply = await this.options.peers.call(vm, 'consensus', {envelopes});
      if (reply.envelopes.length > 0)
        this.options.onReply(
          reply.envelopes as ReadonlyArray<PackedEnvelope<C>>,
        );
    } catch {
      // The core sends again what is not answered.
    }
  }
}
