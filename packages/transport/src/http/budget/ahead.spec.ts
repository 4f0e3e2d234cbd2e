/** Sends requests ahead of their responses to a server in this process. */
import {connect} from 'node:net';
import {expect} from 'chai';
import {HttpServer} from '../server.js';
import {MAX_REQUESTS_IN_PROGRESS} from './core.js';
import {PeerBudget} from './task.js';

/** Address of this process, so that two runs on a machine do not meet. */
const HOST = `127.${64 + ((process.pid >> 8) % 64)}.${process.pid % 256}.2`;
const PORT = 18_093;
const HANDLE_MS = 20;

const GET = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
/** Node runs what waits for the next tick after each part of a body. */
const POST = 'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}';
/** Node answers both by itself, unless it is told not to. */
const WITHOUT_HOST = 'GET /a HTTP/1.1\r\n\r\n';
const WITH_EXPECTATION =
  'POST /a HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 2\r\n\r\n{}';

/** Sends a number of requests at once; resolves with what came back. */
const sendAhead = (count: number, request = GET): Promise<string> =>
  new Promise(resolve => {
    const socket = connect(PORT, HOST);
    let text = '';
    socket.on('error', () => undefined).on('close', () => resolve(text));
    socket.on('data', data => (text += data.toString()));
    const last = 'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n';
    const others = request.repeat(count - 1);
    socket.write(others + last);
  });

const WAIT_MS = 5000;

/** Waits until a condition holds, or for `WAIT_MS`. */
const waitFor = async (isMet: () => boolean): Promise<void> => {
  const until = performance.now() + WAIT_MS;
  while (!isMet() && performance.now() < until)
    await new Promise(resolve => setTimeout(resolve, 5));
};

describe('requests sent ahead', () => {
  let budget: PeerBudget;
  let server: HttpServer;
  let parsed: number;
  let handled: number;
  let closed: string[];
  /** What handlers wait for, if a test holds them. */
  let held: Promise<void> | undefined;

  beforeEach(async () => {
    budget = new PeerBudget();
    [parsed, handled, closed] = [0, 0, []];
    held = undefined;
    budget.onClosed = ({reason}) => void closed.push(reason);
    server = new HttpServer({
      address: `${HOST}:${PORT}`,
      budget,
      limits: {headerBytes: 8192, bodyBytes: 1000, bodyMs: 200, connections: 9},
      routes: [],
      guard: () => void parsed++,
      fallback: async () => {
        handled++;
        await (held ?? new Promise(resolve => setTimeout(resolve, HANDLE_MS)));
        return {status: 200};
      },
      onRefusal: () => undefined,
    });
    await server.listen();
  });

  afterEach(() => {
    void server.close();
    server.destroy();
  });

  // Guards against requests that run, and are answered, while the read is parsed.
  for (const [name, request] of Object.entries({
    'whose bodies are read at once': POST,
    'without a host': WITHOUT_HOST,
    'with an unknown expectation': WITH_EXPECTATION,
  }))
    it(`close their connection beyond the limit, and none runs, ${name}`, async () => {
      expect(await sendAhead(1000, request)).to.equal('');
      expect(closed).to.eql(['pipeline']);
      expect([parsed, handled]).to.eql([0, 0]);
      expect([budget.connections, budget.heldBytes]).to.eql([0, 0]);
      expect(budget.parsedRequests).to.equal(0);
    });

  // Guards against requests that count for ever, so that no connection may send any ahead.
  it('count no more once their connection is gone', async () => {
    let release = (): void => undefined;
    held = new Promise(resolve => (release = resolve));
    const sockets = Array.from({length: 8}, () => connect(PORT, HOST));
    for (const socket of sockets) {
      socket.on('error', () => undefined);
      socket.write(POST.repeat(MAX_REQUESTS_IN_PROGRESS));
    }
    const all = 8 * MAX_REQUESTS_IN_PROGRESS;
    await waitFor(() => budget.parsedRequests === all);
    expect(budget.parsedRequests).to.equal(all);
    for (const socket of sockets) socket.destroy();
    await waitFor(() => budget.connections === 0);
    release();
    expect([budget.parsedRequests, budget.connections]).to.eql([0, 0]);
  });

  it('without a host are rejected, with an unknown expectation served', async () => {
    expect(await sendAhead(2, WITHOUT_HOST)).to.match(/^HTTP\/1.1 400/);
    expect(await sendAhead(2, WITH_EXPECTATION)).to.match(/^HTTP\/1.1 200/);
    expect(budget.parsedRequests).to.equal(0);
  });

  it('are all answered up to the limit', async () => {
    const text = await sendAhead(MAX_REQUESTS_IN_PROGRESS);
    expect(text.split('HTTP/1.1 200').length - 1).to.equal(
      MAX_REQUESTS_IN_PROGRESS,
    );
    expect(closed).to.eql([]);
  });

  // Guards against a read with hundreds of requests, all of which would be handled.
  it('close their connection beyond the limit, and none runs', async () => {
    expect(await sendAhead(1000)).to.equal('');
    expect(closed).to.eql(['pipeline']);
    expect([parsed, handled]).to.eql([0, 0]);
    expect([budget.connections, budget.heldBytes]).to.eql([0, 0]);
  });
});
