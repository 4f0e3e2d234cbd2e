/** Plain HTTP calls. */
import {Agent, request} from 'node:http';

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

const agent = new Agent({keepAlive: true, maxSockets: 64});

/**
 * Makes a call.
 * @returns its status, 0 if there was no whole response, and the parsed body.
 */
export const call = ({address, method = 'GET', path, headers = {}, body, timeoutMs = 1000}) =>
  new Promise(resolve => {
    const at = address.lastIndexOf(':');
    const bytes = body === undefined ? undefined : Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
    const req = request({
      host: address.slice(0, at),
      port: Number(address.slice(at + 1)),
      method,
      path,
      agent,
      headers: {
        ...(bytes ? {'content-type': 'application/json', 'content-length': bytes.length} : {}),
        ...headers,
      },
    });
    const done = reply => {
      clearTimeout(timer);
      resolve(reply);
    };
    const timer = setTimeout(() => {
      done({status: 0, error: 'timeout'});
      req.destroy();
    }, timeoutMs);
    req.on('error', err => done({status: 0, error: String(err.code ?? err.message)}));
    req.on('response', res => {
      const parts = [];
      res.on('data', part => parts.push(part));
      res.on('error', err => done({status: 0, error: String(err.code)}));
      res.on('end', () => {
        const text = Buffer.concat(parts).toString('utf8');
        let parsed;
        try {
          parsed = JSON.parse(text);
        } catch {
          parsed = undefined;
        }
        done({status: res.statusCode, body: parsed, headers: res.headers});
      });
    });
    req.end(bytes);
  });
