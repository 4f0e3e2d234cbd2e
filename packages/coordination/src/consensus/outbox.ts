/** Sending of a node's messages: in replies to calls of other VMs, or in own calls. */
import {
  assertNever,
  toCellError,
  vmOfNode,
  type CellError,
  type VmId,
} from '@primrosewick/state';
import {estimateBytes} from './entry_size.js';
import {EntryPacker, type PackedEnvelope} from './packing.js';
import type {Envelope} from './types.js';

/** Transport of log messages to other VMs. */
export interface LogPeers {
  call(
    to: VmId,
    method: 'consensus',
    request: {readonly envelopes: readonly unknown[]},
  ): Promise<{readonly envelopes: readonly unknown[]}>;
}

/** A VM whose call waits for the messages that result from it. */
export interface WaitingCaller<C> {
  readonly vm: VmId;
  readonly resolve: (envelopes: ReadonlyArray<PackedEnvelope<C>>) => void;
}

/** A call with messages of the log that failed; the peer may have received them. */
export interface FailedCall {
  readonly vm: VmId;
  readonly err: CellError;
  /** Number of messages. */
  readonly messages: number;
  /** Approximate size of the call, in bytes. */
  readonly bytes: number;
}

/** Bytes of messages in one call; a larger message goes alone. */
const MAX_CALL_BYTES = 1024 * 1024;

/** Options of an outbox. */
export interface OutboxOptions<C> {
  readonly peers: LogPeers;
  /** Called with the messages in another VM's reply to a call. */
  readonly onReply: (
    vm: VmId,
    envelopes: ReadonlyArray<PackedEnvelope<C>>,
  ) => void;
  /** Called when a call fails. */
  readonly onFailed?: (call: FailedCall) => void;
}

/** Outgoing messages of one node. */
export class Outbox<C> {
  private callers: Array<WaitingCaller<C>> = [];
  private readonly packer = new EntryPacker<C>();

  constructor(private readonly options: OutboxOptions<C>) {}

  /** Adds a VM that waits for a reply. */
  addCaller(caller: WaitingCaller<C>): void {
    this.callers.push(caller);
  }

  /** Removes and returns the waiting VMs, which get the messages of the next step. */
  takeCallers(): ReadonlyArray<WaitingCaller<C>> {
    const {callers: collectors} = this;
    this.callers = [];
    return collectors;
  }

  /** Sends an empty reply to all waiting VMs. */
  close(): void {
    for (const {resolve} of this.takeCallers()) resolve([]);
  }

  /** Sends messages in the replies to the waiting VMs, and by calls to the other VMs. */
  send(
    envelopes: ReadonlyArray<Envelope<C>>,
    callers: ReadonlyArray<WaitingCaller<C>>,
  ): void {
    const byVm = new Map<VmId, Array<PackedEnvelope<C>>>();
    for (const envelope of envelopes) {
      const vm = vmOfNode(envelope.to);
      const batch = byVm.get(vm);
      const packed = this.packer.pack(envelope);
      if (batch) batch.push(packed);
      else byVm.set(vm, [packed]);
    }
    for (const {vm, resolve} of callers) {
      const batches = splitByBytes(byVm.get(vm) ?? []);
      // Messages in a reply and in a call may change their order.
      const [reply = []] = batches.length === 1 ? batches : [];
      resolve(reply);
      if (batches.length <= 1) byVm.delete(vm);
    }
    for (const [vm, messages] of byVm)
      for (const batch of splitByBytes(messages)) void this.call(vm, batch);
  }

  private async call(
    vm: VmId,
    envelopes: ReadonlyArray<PackedEnvelope<C>>,
  ): Promise<void> {
    try {
      const reply = await this.options.peers.call(vm, 'consensus', {envelopes});
      if (reply.envelopes.length > 0)
        this.options.onReply(
          vm,
          reply.envelopes as ReadonlyArray<PackedEnvelope<C>>,
        );
    } catch (err) {
      // The core resends messages that get no reply.
      this.options.onFailed?.({
        vm,
        err: toCellError(err, 'consensus'),
        messages: envelopes.length,
        bytes: estimateBytes(envelopes),
      });
    }
  }
}

/** Splits messages into calls, in their order. */
const splitByBytes = <C>(
  envelopes: ReadonlyArray<PackedEnvelope<C>>,
): Array<ReadonlyArray<PackedEnvelope<C>>> => {
  const batches: Array<Array<PackedEnvelope<C>>> = [];
  let bytesLeft = 0;
  for (const envelope of envelopes) {
    const bytes = contentBytes(envelope);
    if (batches.length === 0 || bytes > bytesLeft) {
      batches.push([]);
      bytesLeft = MAX_CALL_BYTES;
    }
    batches.at(-1)!.push(envelope);
    bytesLeft -= bytes;
  }
  return batches;
};

/** Bytes of the entries or of the part of a snapshot in a message. */
const contentBytes = <C>({message}: PackedEnvelope<C>): number => {
  switch (message.kind) {
    case 'append':
      return message.entries.length;
    case 'snapshot_chunk':
      return message.chunk.length;
    case 'vote_request':
    case 'vote_reply':
    case 'append_reply':
    case 'snapshot_reply':
    case 'transfer':
      return 0;
    default:
      return assertNever(message);
  }
};
