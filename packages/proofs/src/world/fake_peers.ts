import {
  PEER_METHODS,
  type PeerMethod,
  type PeerMethods,
} from '@primrosewick/protocol';
import {CellError, type Random, type VmId} from '@primrosewick/state';
import type {PeerCaller, PeerHandlers} from '@primrosewick/transport';
import type {EventQueue} from './event_queue.js';
import type {FakeNetwork} from './fake_network.js';
import type {SimProcess} from './process.js';

/** Process and handlers that serve the calls to a VM. */
export interface PeerEndpoint {
  readonly process: SimProcess;
  readonly handlers: Partial<PeerHandlers>;
}

/** Options of the peer caller of one process. */
export interface FakePeersOptions {
  readonly vm: VmId;
  readonly process: SimProcess;
  readonly queue: EventQueue;
  readonly network: FakeNetwork;
  readonly random: Random;
  readonly placeOf: (vm: VmId) => PeerEndpoint | undefined;
}

const CONNECT_TIMEOUT_MS = 400;

/** Peer calls between daemons over the fake network. */
export class FakePeers implements PeerCaller {
  constructor(private readonly options: FakePeersOptions) {}

  call<M extends PeerMethod>(
    to: VmId,
    method: M,
    request: PeerMethods[M]['request'],
  ): Promise<PeerMethods[M]['reply']> {
    const {process, queue, random} = this.options;
    return new Promise((resolve, reject) => {
      const fail = (
        code: 'peer_unreachable' | 'peer_timeout',
        afterMs: number,
      ): void =>
        queue.after(afterMs, () =>
          process.run(() =>
            reject(new CellError({code, step: method, peer: to})),
          ),
        );
      const failsToConnect = this.isCut(to) && random.nextInt(0, 1) === 0;
      if (failsToConnect) return fail('peer_unreachable', CONNECT_TIMEOUT_MS);
      fail('peer_timeout', PEER_METHODS[method].deadlineMs);
      this.deliver(to, method, request, resolve, reject);
    });
  }

  private isCut(to: VmId): boolean {
    const {network, vm, placeOf} = this.options;
    return (
      network.isCut(vm, to) ||
      network.isCut(to, vm) ||
      !placeOf(to)?.process.isAlive
    );
  }

  private deliver<M extends PeerMethod>(
    to: VmId,
    method: M,
    request: PeerMethods[M]['request'],
    resolve: (reply: PeerMethods[M]['reply']) => void,
    reject: (err: unknown) => void,
  ): void {
    const {vm, process, network, placeOf} = this.options;
    network.send(vm, to, () => {
      const endpoint = placeOf(to);
      endpoint?.process.run(() => {
        const handler = endpoint.handlers[method] as
          | ((request: unknown, from: VmId) => Promise<PeerMethods[M]['reply']>)
          | undefined;
        if (!handler) return;
        const answer = (settle: () => void) =>
          endpoint.process.run(() =>
            network.send(to, vm, () => process.run(settle)),
          );
        handler(request, vm).then(
          reply => answer(() => resolve(reply)),
          (err: unknown) => answer(() => reject(err)),
        );
      });
    });
  }
}
