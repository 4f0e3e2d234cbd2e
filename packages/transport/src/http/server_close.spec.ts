import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {HttpServer} from './server.js';

const freePort = (): Promise<number> =>
  new Promise(resolve => {
    const probe = createServer().listen(0, '127.0.0.1', () => {
      const {port} = probe.address() as AddressInfo;
      probe.close(() => resolve(port));
    });
  });

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';

/** A server that answers all, and a connection to it that has been used once. */
const serveOnce = async () => {
  const port = await freePort();
  const server = new HttpServer({
    address: `127.0.0.1:${port}`,
    limits: {headerBytes: 8192, bodyBytes: 1000, bodyMs: 200, connections: 9},
    routes: [],
    fallback: () => ({status: 200}),
    onRefusal: () => undefined,
  });
  await server.listen();
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(REQUEST);
  await new Promise(resolve => socket.once('data', resolve));
  return {server, socket};
};

/** All that comes until a connection closes. */
const readToEnd = (socket: Socket): Promise<string> =>
  new Promise(resolve => {
    let text = '';
    socket.on('data', data => (text += data.toString()));
    socket.on('close', () => resolve(text));
  });

describe('closing an HTTP server', () => {
  // Guards against a request that is reset, as its kept connection counted as idle.
  it('a request that was sent before the server closes is answered', async () => {
    const {server, socket} = await serveOnce();
    const read = readToEnd(socket);
    socket.write(REQUEST);
    const closed = server.close();
    const text = await read;
    expect(text).to.match(/^HTTP\/1.1 200/);
    expect(text.toLowerCase()).to.contain('connection: close');
    await closed;
  });
  it('connections that stay idle are closed', async () => {
    const {server, socket} = await serveOnce();
    const read = readToEnd(socket);
    await server.close();
    expect(await read).to.equal('');
  });
});
