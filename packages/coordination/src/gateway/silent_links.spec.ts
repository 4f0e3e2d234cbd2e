import {createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {LinkHello, LinkHelloReply} from '@primrosewick/protocol';
import type {CellError, VmId, WorkerId, ZoneId} from '@primrosewick/state';
import {
  LinkClient,
  LinkServer,
  pause,
  systemClock,
  type LinkHandlers,
} from '@primrosewick/transport';
import {SilentProxy} from '@primrosewick/transport/fixtures';
import {GatewayTask} from './task.js';

const OWN: LinkHello = {
  vm: 'own' as VmId,
  zone: 'z' as ZoneId,
  node: null,
  hasState: false,
  mayFound: false,
};
/** Time in which clients want an answer, in ms. */
const REQUEST_MS = 2900;
const REQUEST_INTERVAL_MS = 50;
/** Time after a silence from which on requests are served as ever, in ms. */
const RECOVERED_MS = 1600;
const SOUND_MS = 400;

interface Outcome {
  readonly sentAt: number;
  readonly tookMs: number;
  /** Absent if the request was answered. */
  readonly err?: CellError;
  readonly wasExecuted: boolean;
}

/** A leader behind a proxy, and a gateway that calls it. */
class LeaderCell {
  private readonly executed = new Set<string>();
  private nextId = 0;

  private constructor(
    readonly proxy: SilentProxy,
    private readonly server: LinkServer,
    private readonly client: LinkClient,
    private readonly gateway: GatewayTask,
  ) {}

  static async start(): Promise<LeaderCell> {
    const probe = createServer();
    await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(probe.address() as AddressInfo).port}`;
    await new Promise(resolve => probe.close(resolve));
    const proxy = await SilentProxy.open(address);
    let cell: LeaderCell | undefined = undefined;
    const handlers = {
      hello: async () => helloReply(proxy.address),
      removeWorker: async ({worker}: {worker: string}) => {
        cell?.executed.add(worker);
        return {kind: 'ok', value: {isKnown: true}};
      },
    } as unknown as LinkHandlers;
    const onRefusal = (): void => undefined;
    const server = new LinkServer({address, cell: 'c', handlers, onRefusal});
    await server.listen();
    const onBytes = (): void => undefined;
    const client = new LinkClient({cell: 'c', vm: OWN.vm, onBytes});
    const gateway = new GatewayTask({
      peers: client,
      clock: systemClock,
      seeds: [proxy.address],
      hello: () => OWN,
      zone: OWN.zone,
      onContact: () => undefined,
    });
    gateway.start();
    await pause(systemClock, 150);
    cell = new LeaderCell(proxy, server, client, gateway);
    return cell;
  }

  /** Sends requests at a fixed pace for some time. */
  async requestFor(durationMs: number): Promise<readonly Outcome[]> {
    const requests: Array<Promise<Outcome>> = [];
    const end = performance.now() + durationMs;
    while (performance.now() < end) {
      requests.push(this.request());
      await pause(systemClock, REQUEST_INTERVAL_MS);
    }
    return Promise.all(requests);
  }

  close(): void {
    this.gateway.stop();
    this.client.close();
    this.server.close();
    this.proxy.close();
  }

  private async request(): Promise<Outcome> {
    const worker = `w${this.nextId++}` as WorkerId;
    const sentAt = performance.now();
    const err = await this.gateway
      .callLeader('removeWorker', {worker, bornAt: 1}, sentAt + REQUEST_MS)
      .then(
        () => undefined,
        (thrown: CellError) => thrown,
      );
    const tookMs = performance.now() - sentAt;
    return {sentAt, tookMs, err, wasExecuted: this.executed.has(worker)};
  }
}

const helloReply = (vm: VmId): LinkHelloReply => ({
  ...OWN,
  vm,
  leader: vm,
  members: [vm],
  isServing: true,
  isReadable: true,
  index: 0,
});

describe('requests while the link to the leader goes silent', () => {
  for (const silencesAt of [[300], [300, 2300], [300, 1000], [300, 1700]])
    it(`at ${silencesAt.join(' and ')} ms: answered truthfully and in time`, async () => {
      const cell = await LeaderCell.start();
      try {
        const beganAt = performance.now();
        for (const at of silencesAt) setTimeout(() => cell.proxy.silence(), at);
        const lastAt = beganAt + silencesAt.at(-1)!;
        const outcomes = await cell.requestFor(
          silencesAt.at(-1)! + RECOVERED_MS + 1000,
        );
        for (const {sentAt, tookMs, err, wasExecuted} of outcomes) {
          expect(tookMs).to.be.below(REQUEST_MS + 100);
          if (err?.outcome === 'not_run') expect(wasExecuted).to.equal(false);
          if (!err) expect(wasExecuted).to.equal(true);
          if (sentAt < lastAt + RECOVERED_MS) continue;
          expect(err).to.equal(undefined);
          expect(tookMs).to.be.below(SOUND_MS);
        }
        const failed = outcomes.filter(({err}) => err);
        expect(failed, String(failed[0]?.err)).to.have.length(0);
      } finally {
        cell.close();
      }
    });
});
