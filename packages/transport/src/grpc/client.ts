import {
  Client,
  connectivityState,
  credentials,
  Metadata,
  status,
  type ServiceError,
} from '@grpc/grpc-js';
import {
  MAX_PEER_MESSAGE_BYTES,
  PEER_METHODS,
  PEER_PROTOCOL_VERSION,
  decodeFrame,
  encodeFrame,
  type PeerMethod,
  type PeerMethods,
  type VmSettings,
} from '@primrosewick/protocol';
import {
  CellError,
  isReasonCode,
  type CellId,
  type ErrorBody,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {methodPath, type AnyFrame} from './service.js';

/** Calls other daemons; tests substitute a fake network. */
export interface PeerCaller {
  /**
   * Calls a method of another VM.
   * @throws CellError `peer_unreachable`, `peer_timeout` or the peer's reason.
   */
  call<M extends PeerMethod>(
    to: VmId,
    method: M,
    request: PeerMethods[M]['request'],
  ): Promise<PeerMethods[M]['reply']>;
}

/** Options of `PeerClient`. */
export interface PeerClientOptions {
  readonly cell: CellId;
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly vms: readonly VmSettings[];
  /** Called with the size of each message sent and received. */
  readonly onBytes: (
    scope: 'in_zone' | 'cross_zone',
    direction: 'sent' | 'received',
    bytes: number,
  ) => void;
}

/** A call in flight. */
interface OpenCall {
  readonly sentAt: number;
  /** Fails it. */
  cancel: () => void;
}

/** Connection to one VM; times are monotonic, in ms. */
interface PeerConnection {
  readonly client: Client;
  /** When the last answer came. */
  heardAt: number;
  readonly calls: Set<OpenCall>;
}

/** A call younger than this may be answered yet, whatever others come to, in ms. */
const YOUNG_CALL_MS = 250;
const CONNECT_TIMEOUT_MS = 400;
const MAX_RECONNECT_MS = 1000;
const MIN_RECONNECT_MS = 100;

/**
 * Calls other daemons over gRPC, with unary calls only. A connection may go silent
 * without a reset, and would stay ready for minutes: one call that meets its deadline
 * closes it, unless it was answered on meanwhile.
 */
export class PeerClient implements PeerCaller {
  private readonly connections = new Map<VmId, PeerConnection>();

  constructor(private readonly options: PeerClientOptions) {}

  async call<M extends PeerMethod>(
    to: VmId,
    method: M,
    request: PeerMethods[M]['request'],
  ): Promise<PeerMethods[M]['reply']> {
    const target = this.options.vms.find(({vm}) => vm === to);
    if (!target)
      throw new CellError({
        code: 'peer_unreachable',
        step: method,
        peer: to,
        detail: 'the settings have no such VM',
      });
    await this.connect(target, method);
    const reply = await this.send(target, method, request);
    return reply.body as PeerMethods[M]['reply'];
  }

  /** Closes all connections. */
  close(): void {
    for (const {client} of this.connections.values()) client.close();
    this.connections.clear();
  }

  /**
   * Waits for a connection, so that a call to an unreachable VM is known not to
   * have been sent.
   */
  private connect(target: VmSettings, step: PeerMethod): Promise<void> {
    const {client} = this.connectionTo(target);
    const isReady =
      client.getChannel().getConnectivityState(true) ===
      connectivityState.READY;
    if (isReady) return Promise.resolve();
    return new Promise((resolve, reject) => {
      client.waitForReady(Date.now() + CONNECT_TIMEOUT_MS, err => {
        if (err)
          reject(
            new CellError({
              code: 'peer_unreachable',
              step,
              peer: target.vm,
              detail: 'connection not established in time',
            }),
          );
        else resolve();
      });
    });
  }

  private send(
    target: VmSettings,
    method: PeerMethod,
    body: unknown,
  ): Promise<AnyFrame> {
    const {cell, vm, zone, onBytes} = this.options;
    const scope = target.zone === zone ? 'in_zone' : 'cross_zone';
    const frame: AnyFrame = {
      version: PEER_PROTOCOL_VERSION,
      cell,
      from: vm,
      to: target.vm,
      body,
    };
    const serialize = (value: AnyFrame): Buffer => {
      const bytes = encodeFrame(value);
      onBytes(scope, 'sent', bytes.length);
      return bytes;
    };
    const deserialize = (bytes: Buffer): AnyFrame => {
      onBytes(scope, 'received', bytes.length);
      return decodeFrame(bytes);
    };
    const deadline = Date.now() + PEER_METHODS[method].deadlineMs;
    const connection = this.connectionTo(target);
    const sentAt = performance.now();
    const open: OpenCall = {sentAt, cancel: () => undefined};
    connection.calls.add(open);
    return new Promise((resolve, reject) => {
      const call = connection.client.makeUnaryRequest(
        methodPath(method),
        serialize,
        deserialize,
        frame,
        new Metadata(),
        {deadline},
        (err, reply) => {
          connection.calls.delete(open);
          this.noteEnd(target.vm, connection, sentAt, err);
          if (reply && !err) resolve(reply);
          else reject(toPeerError(err, method, target.vm));
        },
      );
      open.cancel = () => call.cancel();
    });
  }

  /** Notes the end of a call, and closes a connection on which nothing came since. */
  private noteEnd(
    vm: VmId,
    connection: PeerConnection,
    sentAt: number,
    err: ServiceError | null,
  ): void {
    const now = performance.now();
    const isAnswer = !err || err.code === status.FAILED_PRECONDITION;
    if (isAnswer) connection.heardAt = now;
    const isSilent =
      err?.code === status.DEADLINE_EXCEEDED && connection.heardAt <= sentAt;
    if (!isSilent || this.connections.get(vm) !== connection) return;
    this.connections.delete(vm);
    connection.client.close();
    for (const call of connection.calls)
      if (now - call.sentAt >= YOUNG_CALL_MS) call.cancel();
  }

  private connectionTo({vm, peer}: VmSettings): PeerConnection {
    const known = this.connections.get(vm);
    if (known) return known;
    const client = new Client(peer, credentials.createInsecure(), {
      'grpc.max_receive_message_length': MAX_PEER_MESSAGE_BYTES,
      'grpc.max_send_message_length': MAX_PEER_MESSAGE_BYTES,
      'grpc.initial_reconnect_backoff_ms': MIN_RECONNECT_MS,
      'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
      'grpc.enable_retries': 0,
      'grpc.use_local_subchannel_pool': 1,
    });
    const heardAt = Number.NEGATIVE_INFINITY;
    const connection = {client, heardAt, calls: new Set<OpenCall>()};
    this.connections.set(vm, connection);
    return connection;
  }
}

const toPeerError = (
  err: ServiceError | null,
  step: string,
  peer: VmId,
): CellError => {
  if (!err)
    return new CellError({code: 'internal', step, peer, detail: 'empty reply'});
  if (err.code === status.FAILED_PRECONDITION)
    return parsePeerError(err, step, peer);
  return new CellError({code: 'peer_timeout', step, peer, detail: err.details});
};

const parsePeerError = (
  err: ServiceError,
  step: string,
  peer: VmId,
): CellError => {
  try {
    const body = JSON.parse(err.details) as ErrorBody;
    if (isReasonCode(body.code)) return CellError.fromBody({...body, peer});
  } catch {
    // The details are no encoded `ErrorBody`.
  }
  return new CellError({code: 'internal', step, peer, detail: err.details});
};
