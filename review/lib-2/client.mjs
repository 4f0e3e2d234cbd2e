/** A client: sends a job again to another entry while it has no clear answer. */
import {randomBytes} from 'node:crypto';
import {call, pause} from './http.mjs';
import {HOST} from './cell.mjs';

export const newId = () => randomBytes(8).toString('hex');

const headers = {host: HOST, 'x-deadline-ms': '3000'};

/** Submits a job. @returns the statuses of all tries; the last is 200 if it was accepted. */
export const submit = async (cell, prefix, id, job, {tries = 5} = {}) => {
  const statuses = [];
  for (let i = 0; i < tries; i++) {
    const address = cell.fronts[i % cell.fronts.length];
    const reply = await call({address, method: 'POST', path: prefix + id, headers, body: job, timeoutMs: 3000});
    statuses.push(reply.status);
    cell.record(`job ${id} sent to ${address}: ${reply.status} ${reply.error ?? ''}`);
    if (reply.status === 200 || reply.status === 404 || reply.status === 400) break;
    await pause(300);
  }
  return statuses;
};

/** Asks for the state of a job. */
export const stateOf = async (cell, prefix, id, at = 0) => {
  const address = cell.fronts[at % cell.fronts.length];
  const reply = await call({address, path: prefix + id, headers, timeoutMs: 3000});
  return {status: reply.status, state: reply.body?.state};
};
