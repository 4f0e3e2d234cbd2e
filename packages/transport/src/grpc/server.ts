import {
  Server,
  ServerCredentials,
  status,
  type sendUnaryData,
  type ServerUnaryCall,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {
  MAX_PEER_MESSAGE_BYTES,
  PEER_METHODS,
  PEER_PROTOCOL_VERSION,
  type PeerMethod,
  type PeerMethods,
} from '@primrosewick/protocol';
import {
  CellError,
  toCellError,
  type CellId,
  type VmId,
} from '@primrosewick/state';
import {PEER_SERVICE, type AnyFrame} from './service.js';

/** Handlers by method. */
export type PeerHandlers = {
  readonly [M in PeerMethod]: (
    request: PeerMethods[M]['request'],
    from: VmId,
  ) => Promise<PeerMethods[M]['reply']>;
};

/** Options of `PeerServer`. */
export interface PeerServerOptions {
  readonly address: string;
  readonly cell: CellId;
  readonly vm: VmId;
  readonly handlers: PeerHandlers;
  readonly onRefusal: (err: CellError) => void;
}

type Call = ServerUnaryCall<AnyFrame, AnyFrame>;

/** Serves gRPC calls from other daemons of the same cell. */
export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_PEER_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAX_PEER_MESSAGE_BYTES,
  });

  constructor(private readonly options: PeerServerOptions) {
    const methods = Object.keys(PEER_METHODS) as PeerMethod[];
    const entries = methods.map(method => [method, this.makeHandler(method)]);
    this.server.addService(
      PEER_SERVICE,
      Object.fromEntries(entries) as UntypedServiceImplementation,
    );
  }

  /** Starts listening. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(
        this.options.address,
        ServerCredentials.createInsecure(),
        err => (err ? reject(err) : resolve()),
      );
    });
  }

  /** Aborts all calls and stops listening. */
  close(): void {
    this.server.forceShutdown();
  }

  private makeHandler(method: PeerMethod) {
    return (call: Call, reply: sendUnaryData<AnyFrame>): void => {
      this.run(method, call.request).then(
        body => reply(null, this.frame(call.request.from, body)),
        (err: unknown) => this.refuse(toCellError(err, method), reply),
      );
    };
  }

  private async run(method: PeerMethod, frame: AnyFrame): Promise<unknown> {
    this.checkFrame(frame, method);
    const handler = this.options.handlers[method] as (
      request: unknown,
      from: VmId,
    ) => Promise<unknown>;
    return handler(frame.body, frame.from);
  }

  private checkFrame(frame: AnyFrame, method: PeerMethod): void {
    const {cell, vm} = this.options;
    const isAddressedHere =
      frame.cell === cell &&
      frame.to === vm &&
      frame.version === PEER_PROTOCOL_VERSION;
    if (isAddressedHere) return;
    const detail = `unexpected frame: cell ${frame.cell}, version ${frame.version}, addressed to ${frame.to}`;
    throw new CellError({
      code: 'wrong_cell',
      step: method,
      peer: frame.from,
      detail,
    });
  }

  private frame(to: VmId, body: unknown): AnyFrame {
    return {
      version: PEER_PROTOCOL_VERSION,
      cell: this.options.cell,
      from: this.options.vm,
      to,
      body,
    };
  }

  private refuse(err: CellError, reply: sendUnaryData<AnyFrame>): void {
    this.options.onRefusal(err);
    reply({
      code: status.FAILED_PRECONDITION,
      details: JSON.stringify(err.toBody()),
    });
  }
}
