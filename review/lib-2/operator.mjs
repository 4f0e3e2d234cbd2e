/** The operator: sends an order to one voter after the other until it is answered. */
import {call, pause} from './http.mjs';
import {HOST, SERVICE} from './cell.mjs';

/** The queue that the cases use. */
export const route = (name, prefix, more = {}) => ({
  name,
  host: HOST,
  prefix,
  kind: 'non_idempotent',
  timeoutMs: 3000,
  sloMs: 3000,
  priority: 1,
  service: SERVICE,
  attempts: 4,
  stretch: 4,
  ...more,
});

/** A whole configuration. */
export const config = (version, routes) => ({
  version,
  routes,
  services: [
    {name: SERVICE, healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false},
  ],
  limits: {maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000},
});

const FINAL = new Set([400, 409, 412, 413, 422]);

/** Sends a configuration until it is acknowledged. @returns whether it was. */
export const putConfig = async (cell, cfg, {timeoutMs = 4000, tryMs = 1000, first = 0} = {}) => {
  const until = Date.now() + timeoutMs;
  const body = Buffer.from(JSON.stringify(cfg));
  for (let i = first; Date.now() < until; i++) {
    const address = cell.controls[i % cell.controls.length];
    const reply = await call({address, method: 'POST', path: '/-/config/put', body, timeoutMs: tryMs});
    if (reply.status !== 200)
      cell.record(`config ${cfg.version} to ${address}: ${reply.status} ${reply.error ?? JSON.stringify(reply.body)}`);
    if (reply.status === 200) {
      cell.record(`config ${cfg.version} (${cfg.routes.length} routes, ${body.length} bytes) acknowledged by ${address}`);
      return true;
    }
    if (FINAL.has(reply.status)) return false;
    await pause(Math.min(1000, 100 * 2 ** Math.min(4, i - first)));
  }
  return false;
};

/** Reads the configuration at one node. */
export const getConfig = async (cell, address) => {
  const reply = await call({address, path: '/-/config/get', timeoutMs: 2000});
  cell.record(`read of the config at ${address}: ${reply.status} ${reply.error ?? ''} version ${reply.body?.version ?? '-'}`);
  return reply;
};
