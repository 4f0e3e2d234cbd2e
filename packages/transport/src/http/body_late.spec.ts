import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import {toCellError} from '@primrosewick/state';
import {readBody} from './body.js';

const SENDER = `
const {workerData} = require('node:worker_threads');
const {request} = require('node:http');
const req = request({port: workerData, method: 'POST'});
req.on('error', () => undefined);
req.flushHeaders();
setTimeout(() => req.end('whole'), 100);
`;

describe('readBody while the event loop lags', () => {
  it('accepts a body that arrived before the timeout but is still unread', async () => {
    const outcome = new Promise<string>(resolve => {
      const server = createServer((req, res) => {
        readBody(req, {maxBytes: 100, timeoutMs: 300})
          .then(
            bytes => bytes.toString(),
            (err: unknown) => toCellError(err, 'read').code,
          )
          .then(result => {
            res.end();
            server.close();
            server.closeAllConnections();
            resolve(result);
          })
          .catch(() => undefined);
        setImmediate(() => {
          const until = performance.now() + 600;
          while (performance.now() < until);
        });
      });
      server.listen(0, () => {
        const {port} = server.address() as AddressInfo;
        new Worker(SENDER, {eval: true, workerData: port});
      });
    });
    expect(await outcome).to.equal('whole');
  });
});
