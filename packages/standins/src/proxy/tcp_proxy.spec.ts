import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import {expect} from 'chai';
import {sleep, splitAddress} from '@primrosewick/transport';
import {freePorts, waitUntil} from '../cell/cell.js';
import {TcpProxy} from './tcp_proxy.js';

const WAIT_MS = 2000;
/** Time after which what did not arrive counts as held up, in ms. */
const QUIET_MS = 60;

/** A connection, and all that has come in on it. */
interface Client {
  readonly socket: Socket;
  readonly received: () => string;
  readonly isClosed: () => boolean;
}

describe('TCP proxy', () => {
  let server: Server;
  let proxy: TcpProxy;
  let address = '';
  const served: Socket[] = [];
  const clients: Client[] = [];

  beforeEach(async () => {
    const [port, proxyPort] = await freePorts(2);
    address = `127.0.0.1:${proxyPort}`;
    server = createServer(socket => {
      served.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', part => socket.write(`re:${String(part)};`));
    });
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    const target = `127.0.0.1:${port}`;
    proxy = await TcpProxy.listen({address, target});
  });
  afterEach(async () => {
    await proxy.close();
    for (const {socket} of clients.splice(0)) socket.destroy();
    for (const socket of served.splice(0)) socket.destroy();
    server.close();
  });

  const open = async (): Promise<Client> => {
    const socket = connect(splitAddress(address));
    let text = '';
    let isClosed = false;
    socket.on('data', part => (text += String(part)));
    socket.on('error', () => undefined);
    socket.on('close', () => (isClosed = true));
    await once(socket, 'connect');
    const client = {
      socket,
      received: () => text,
      isClosed: () => isClosed,
    };
    clients.push(client);
    return client;
  };
  const hasEcho = ({socket, received}: Client, text: string) => {
    socket.write(text);
    return waitUntil(WAIT_MS, async () => received().includes(`re:${text};`));
  };
  const staysQuiet = async (client: Client, text: string): Promise<boolean> => {
    const before = client.received();
    client.socket.write(text);
    await sleep(QUIET_MS);
    return client.received() === before && !client.isClosed();
  };

  it('forwards in both directions, and tells an end', async () => {
    const client = await open();
    expect(await hasEcho(client, 'one')).to.equal(true);
    served[0]?.end();
    await once(client.socket, 'end');
    client.socket.end();
    const isGone = async () => proxy.connections === 0;
    expect(await waitUntil(WAIT_MS, isGone)).to.equal(true);
  });
  it('connections that have gone silent stay so while new ones work', async () => {
    const old = await open();
    expect(await hasEcho(old, 'one')).to.equal(true);
    await proxy.disturb({kind: 'silence', direction: 'both'});
    expect(await staysQuiet(old, 'two')).to.equal(true);
    expect(await hasEcho(await open(), 'three')).to.equal(true);
    served[0]?.destroy();
    expect(await staysQuiet(old, 'four')).to.equal(true);
  });
  it('silence in one direction lets the other pass', async () => {
    const client = await open();
    expect(await hasEcho(client, 'one')).to.equal(true);
    await proxy.disturb({kind: 'silence', direction: 'to_caller'});
    let seen = '';
    served[0]?.on('data', part => (seen += String(part)));
    expect(await staysQuiet(client, 'two')).to.equal(true);
    expect(seen).to.equal('two');
  });
  it('a reset ends the connections that exist', async () => {
    const client = await open();
    await proxy.disturb({kind: 'reset'});
    expect(await waitUntil(WAIT_MS, async () => client.isClosed())).to.equal(
      true,
    );
    expect(await hasEcho(await open(), 'two')).to.equal(true);
  });
  it('refuses connections until it accepts them again', async () => {
    await proxy.disturb({kind: 'refuse'});
    const error = await open().catch((err: NodeJS.ErrnoException) => err.code);
    expect(error).to.equal('ECONNREFUSED');
    await proxy.disturb({kind: 'accept'});
    expect(await hasEcho(await open(), 'one')).to.equal(true);
  });
  it('a cut holds up old and new connections until it is joined', async () => {
    const old = await open();
    await proxy.disturb({kind: 'cut'});
    const late = await open();
    expect(await staysQuiet(old, 'one')).to.equal(true);
    expect(await staysQuiet(late, 'two')).to.equal(true);
    await proxy.disturb({kind: 'join'});
    const isEchoed = async () =>
      old.received() === 're:one;' && late.received() === 're:two;';
    expect(await waitUntil(WAIT_MS, isEchoed)).to.equal(true);
    expect(await hasEcho(late, 'three')).to.equal(true);
  });
  it('a delay holds up what passes', async () => {
    const client = await open();
    await proxy.disturb({kind: 'delay', delayMs: 2 * QUIET_MS});
    expect(await staysQuiet(client, 'one')).to.equal(true);
    const isEchoed = async () => client.received() === 're:one;';
    expect(await waitUntil(WAIT_MS, isEchoed)).to.equal(true);
  });
});
