import {createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
  asId,
  type CellError,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {LinkClient} from './client.js';
import {LinkServer, type LinkHandlers} from './server.js';
import {SilentProxy, type SilentDirection} from './silent_proxy.js';

const HELLO = {
  vm: asId<VmId>('127.0.0.1:1'),
  zone: asId<ZoneId>('z'),
  node: null,
  hasState: false,
  mayFound: false,
};
const QUERY = {host: 'h', path: '/q/a', atLeast: 0};
/** Longest time until a call over a silent stream fails, in ms. */
const SILENCE_BOUND_MS = 1600;
/** Longest time of a call over a new stream, in ms. */
const NEW_STREAM_MS = 400;
const LONG_MS = 5000;
const HEARTBEAT_MS = 120;
/** Silence after which a follower may elect another leader, in ms. */
const ELECTION_MS = 700;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));
const waitUntil = async (isDone: () => boolean, maxMs = 5000) => {
  const end = performance.now() + maxMs;
  while (!isDone() && performance.now() < end) await pause(20);
};

const toClose: Array<{close(): void}> = [];

/** A server that answers `hello`, and `readWorkflow` once its caller has gone. */
class Peer {
  readonly disconnected: VmId[] = [];
  hellos = 0;
  isConsensusSlow = false;
  pendingReads = 0;

  private constructor(readonly proxy: SilentProxy) {}

  static async start(): Promise<Peer> {
    const probe = createServer();
    await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
    const {port} = probe.address() as AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    const address = `127.0.0.1:${port}`;
    const peer = new Peer(await SilentProxy.open(address));
    const server = new LinkServer({
      address,
      cell: 'cell',
      handlers: peer.handlers(),
      onRefusal: () => undefined,
      onDisconnected: vm => peer.disconnected.push(vm),
      probe: {intervalMs: 1000, timeoutMs: 500},
    });
    await server.listen();
    toClose.push(peer.proxy, server);
    return peer;
  }

  get address(): VmId {
    return this.proxy.address;
  }

  private handlers(): LinkHandlers {
    const read = (signal: AbortSignal) =>
      new Promise(resolve => {
        this.pendingReads++;
        signal.addEventListener('abort', () => {
          this.pendingReads--;
          resolve({answer: null, index: 0});
        });
      });
    return {
      hello: async () => {
        this.hellos++;
        return HELLO;
      },
      consensus: async () => {
        if (this.isConsensusSlow) await pause(700);
        return {envelopes: []};
      },
      readWorkflow: (_q: unknown, _f: VmId, _d: number, signal: AbortSignal) =>
        read(signal),
    } as unknown as LinkHandlers;
  }
}

describe('a link that goes silent', () => {
  let client: LinkClient;
  beforeEach(() => {
    const {vm} = HELLO;
    client = new LinkClient({cell: 'cell', vm, onBytes: () => undefined});
    toClose.push(client);
  });
  afterEach(() => {
    for (const item of toClose.splice(0).reverse()) item.close();
  });

  /** Calls a peer; @returns `answered` or the error's code, and the time in ms. */
  const call = async ({address}: Peer) => {
    const beganAt = performance.now();
    const outcome = await client
      .call(address, 'hello', HELLO, {timeoutMs: LONG_MS})
      .then(
        () => 'answered',
        (err: CellError) => err.code as string,
      );
    return {outcome, tookMs: performance.now() - beganAt};
  };
  const expectSilent = async (peer: Peer) => {
    const {outcome, tookMs} = await call(peer);
    expect(outcome).to.equal('peer_timeout');
    expect(tookMs).to.be.below(SILENCE_BOUND_MS);
  };
  const expectAnswer = async (peer: Peer) => {
    const {outcome, tookMs} = await call(peer);
    expect(outcome).to.equal('answered');
    expect(tookMs).to.be.below(NEW_STREAM_MS);
  };

  const directions: readonly SilentDirection[] = [
    'both',
    'requests',
    'answers',
  ];
  for (const direction of directions)
    it(`${direction}: a call fails within its bound, the next is answered; twice`, async () => {
      const peer = await Peer.start();
      await expectAnswer(peer);
      for (let i = 0; i < 2; i++) {
        peer.proxy.silence(direction);
        await expectSilent(peer);
        await expectAnswer(peer);
      }
      expect(peer.proxy.opened).to.equal(3);
    });
  it('a second silence while the first is waited out', async () => {
    const peer = await Peer.start();
    await expectAnswer(peer);
    peer.proxy.silence();
    const first = call(peer);
    await pause(700);
    peer.proxy.silence();
    expect((await first).tookMs).to.be.below(SILENCE_BOUND_MS);
    const second = call(peer);
    peer.proxy.silence();
    expect((await second).tookMs).to.be.below(SILENCE_BOUND_MS);
    await expectAnswer(peer);
  });
  it('silent before its first frame is answered: calls were not sent', async () => {
    const peer = await Peer.start();
    peer.proxy.isSilentAtOpen = true;
    for (let i = 0; i < 2; i++) {
      const {outcome, tookMs} = await call(peer);
      expect(outcome).to.equal('peer_unreachable');
      expect(tookMs).to.be.below(SILENCE_BOUND_MS);
    }
    peer.proxy.isSilentAtOpen = false;
    await expectAnswer(peer);
    await waitUntil(() => peer.proxy.openCount === 1);
    expect(peer.proxy.openCount).to.equal(1);
  });
  // Guards against LOST: idle streams were found silent one after the other.
  it('all links go silent: once one is found, the others are too', async () => {
    const peers = await Promise.all([Peer.start(), Peer.start(), Peer.start()]);
    for (const peer of peers) await expectAnswer(peer);
    await pause(1200);
    for (const {proxy} of peers) proxy.silence();
    await expectSilent(peers[0]!);
    await pause(800);
    await expectAnswer(peers[1]!);
    await expectAnswer(peers[2]!);
  });
  it('idle links whose peers live are kept when another goes silent', async () => {
    const peers = await Promise.all([Peer.start(), Peer.start()]);
    for (const peer of peers) await expectAnswer(peer);
    await pause(1200);
    peers[0]!.proxy.silence();
    await expectSilent(peers[0]!);
    await pause(1000);
    await expectAnswer(peers[1]!);
    expect(peers[1]!.proxy.opened).to.equal(1);
  });
  /** Sends heartbeats for some time; @returns the longest time between answers, in ms. */
  const longestBeatGap = async ({address}: Peer, durationMs: number) => {
    const beganAt = performance.now();
    const answeredAt = [beganAt];
    while (performance.now() < beganAt + durationMs) {
      client.call(address, 'consensus', {envelopes: []}).then(
        () => answeredAt.push(performance.now()),
        () => undefined,
      );
      await pause(HEARTBEAT_MS);
    }
    answeredAt.push(performance.now());
    return Math.max(...answeredAt.slice(1).map((at, i) => at - answeredAt[i]!));
  };
  // A leader whose links went silent lost its quorum, and there was none for 3 s.
  it('heartbeats are answered again within an election timeout, twice', async () => {
    const peer = await Peer.start();
    setTimeout(() => peer.proxy.silence(), 1100);
    setTimeout(() => peer.proxy.silence(), 2700);
    expect(await longestBeatGap(peer, 4500)).to.be.below(ELECTION_MS);
    expect(peer.proxy.opened).to.equal(3);
    await waitUntil(() => peer.proxy.openCount === 1);
    expect(peer.proxy.openCount).to.equal(1);
  });
  it('a replaced stream that lives is closed once no call waits on it', async () => {
    const peer = await Peer.start();
    await longestBeatGap(peer, 1100);
    peer.proxy.pause(450);
    await longestBeatGap(peer, 1500);
    expect(peer.proxy.opened).to.equal(2);
    expect(peer.proxy.openCount).to.equal(1);
  });
  it('a peer that is slow to answer heartbeats, but answers probes, keeps its stream', async () => {
    const peer = await Peer.start();
    await longestBeatGap(peer, 1100);
    peer.isConsensusSlow = true;
    await longestBeatGap(peer, 1500);
    expect(peer.proxy.opened).to.equal(1);
  });
  it('leaves no connection open at its caller', async () => {
    const peer = await Peer.start();
    for (let i = 0; i < 3; i++) {
      await expectAnswer(peer);
      peer.proxy.silence();
      await expectSilent(peer);
    }
    await waitUntil(() => peer.proxy.openCount === 0);
    expect(peer.proxy.openCount).to.equal(0);
  });
  it('holds neither a connection nor a waiting read at its server', async () => {
    const peer = await Peer.start();
    await expectAnswer(peer);
    const read = client
      .call(peer.address, 'readWorkflow', QUERY, {timeoutMs: LONG_MS})
      .catch(() => 'failed');
    await waitUntil(() => peer.pendingReads === 1);
    peer.proxy.silence();
    expect(await read).to.equal('failed');
    await waitUntil(() => peer.pendingReads + peer.proxy.openAtTarget === 0);
    expect(peer.pendingReads).to.equal(0);
    expect(peer.proxy.openAtTarget).to.equal(0);
    await waitUntil(() => peer.disconnected.length > 0);
    expect(peer.disconnected).to.eql([HELLO.vm]);
  });
});
