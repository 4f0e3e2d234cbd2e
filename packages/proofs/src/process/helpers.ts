import {connect} from 'node:net';
import type {VmStatus} from '@primrosewick/protocol';
import {
  callHttp,
  splitAddress,
  type HttpResponse,
} from '@primrosewick/transport';
import {waitUntil, type Cell} from '@primrosewick/standins';

/** Returns a minimal profile document. */
export const makeProfile = (
  name: string,
  graceMs = 0,
): Record<string, unknown> => ({
  name,
  placing: {kind: 'pack'},
  waiting: {
    classes: [
      {
        name: 'all',
        pathPrefix: '/',
        priority: 4,
        deadlineMs: 3000,
        queueBound: 5,
      },
    ],
    spill: {kind: 'never'},
  },
  stopping: {graceMs, checkpoint: false, repeat: {kind: 'at_most_once'}},
});

/**
 * Returns the status of all VMs as seen from one VM; empty if the call fails.
 */
export const readStatus = async (
  cell: Cell,
  vm: string,
): Promise<VmStatus[]> => {
  const {code, stdout} = await cell.runOperatorCommand(vm, [
    'status',
    '--json',
  ]);
  return code === 0 ? (JSON.parse(stdout) as {vms: VmStatus[]}).vms : [];
};

/**
 * Waits until the status as seen from one VM satisfies a condition, at most 30
 * s.
 */
export const waitForStatus = (
  cell: Cell,
  vm: string,
  holds: (vms: VmStatus[]) => boolean,
): Promise<boolean> =>
  waitUntil(30_000, async () => holds(await readStatus(cell, vm)));

/** Returns the VM that leads the cell log, as seen from one VM. */
export const findLogLeader = async (
  cell: Cell,
  vm: string,
): Promise<string | undefined> => {
  const vms = await readStatus(cell, vm);
  return vms.find(({log}) => log?.role === 'leader')?.vm;
};

/**
 * Writes the next revision of a profile.
 * @returns Output of the command: the revision or the error.
 */
export const putProfile = async (
  cell: Cell,
  vm: string,
  name: string,
  base: number,
): Promise<string> => {
  const file = cell.writeDocument(`${name}.jsonc`, makeProfile(name, base));
  const {stdout, stderr} = await cell.runOperatorCommand(vm, [
    'profile',
    'put',
    file,
    '--base',
    String(base),
  ]);
  return (stdout + stderr).trim();
};

/**
 * Returns the latest revision of a profile as read from a VM; 0 if that fails.
 */
export const readRevision = async (
  cell: Cell,
  vm: string,
  name: string,
): Promise<number> => {
  const {code, stdout} = await cell.runOperatorCommand(vm, [
    'profile',
    'get',
    name,
  ]);
  return code === 0 ? (JSON.parse(stdout) as {revision: number}).revision : 0;
};

/** Returns the error code in the body of an answer, or an empty string. */
export const errorCode = (answer: HttpResponse): string => {
  const body = JSON.parse(answer.body.toString('utf8')) as {
    error?: {code: string};
  };
  return body.error?.code ?? '';
};

/** Makes an HTTP call with a timeout of 10 s and an answer of at most 1 MiB. */
export const call = (
  address: string,
  method: string,
  path: string,
  headers: Record<string, string> = {},
  body?: string,
): Promise<HttpResponse> =>
  callHttp({
    address,
    method,
    path,
    headers,
    body: body === undefined ? undefined : Buffer.from(body),
    timeoutMs: 10_000,
    maxResponseBytes: 1 << 20,
  });

/** Sends raw text and collects the answer until the connection closes. */
export const sendRaw = (address: string, text: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const socket = connect(splitAddress(address), () => socket.write(text));
    let answer = '';
    socket.on('data', part => (answer += String(part)));
    socket.on('close', () => resolve(answer));
    socket.on('error', reject);
  });
