import {connect} from 'node:net';
import type {VmStatus} from '@primrosewick/protocol';
import {
  callHttp,
  splitAddress,
  type HttpResponse,
} from '@primrosewick/transport';
import {waitUntil, type Cell} from '@primrosewick/standins';

/** A profile that needs no more than a name. */
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

/** State of all VMs as one entry sees it; empty when it cannot be asked. */
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

/** Waits until the state as one entry sees it satisfies a condition. */
export const waitForStatus = (
  cell: Cell,
  vm: string,
  holds: (vms: VmStatus[]) => boolean,
): Promise<boolean> =>
  waitUntil(30_000, async () => holds(await readStatus(cell, vm)));

/** VM that leads the cell log, as the VMs asked through one entry say. */
export const findLogLeader = async (
  cell: Cell,
  vm: string,
): Promise<string | undefined> => {
  const vms = await readStatus(cell, vm);
  return vms.find(({log}) => log?.role === 'leader')?.vm;
};

/** Writes the next revision of a profile; @returns the revision or the error. */
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

/** Latest revision of a profile that a VM shows, or 0. */
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

/** Calls an address and reads the error code of its answer. */
export const errorCode = (answer: HttpResponse): string => {
  const body = JSON.parse(answer.body.toString('utf8')) as {
    error?: {code: string};
  };
  return body.error?.code ?? '';
};

/** Makes a call with the bounds that tests need. */
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

/** Sends raw text and collects what comes back until the other side ends. */
export const sendRaw = (address: string, text: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const socket = connect(splitAddress(address), () => socket.write(text));
    let answer = '';
    socket.on('data', part => (answer += String(part)));
    socket.on('close', () => resolve(answer));
    socket.on('error', reject);
  });
