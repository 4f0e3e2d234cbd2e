import {spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {expect} from 'chai';
import {
  Cell,
  DAEMON_SCRIPT,
  freePorts,
  waitUntil,
} from '@primrosewick/standins';
import {
  call,
  errorCode,
  makeProfile,
  sendRaw,
  waitForStatus,
} from './helpers.js';

const START_MS = 40_000;

describe('bad input', () => {
  let cell: Cell;
  let client = '';
  let operator = '';
  let auth: Record<string, string> = {};

  before(async () => {
    const settings = {
      limits: {headerBytes: 4096, bodyBytes: 2000, bodyMs: 700},
    };
    cell = await Cell.create({
      cell: 'input',
      vms: [{vm: 'a1', zone: 'a', disk: true}],
      settings,
    });
    cell.startDaemon('a1');
    expect(await cell.waitUntilReady('a1', START_MS)).to.equal(true);
    ({client, operator} = cell.getVm('a1'));
    auth = {authorization: `Bearer ${readFileSync(cell.tokenFile, 'utf8')}`};
    const file = cell.writeDocument('desk.jsonc', makeProfile('desk'));
    await cell.runOperatorCommand('a1', ['profile', 'put', file]);
    await cell.runOperatorCommand('a1', [
      'service',
      'put',
      'desk',
      '--profile',
      'desk',
    ]);
    const [port, workerPort] = await freePorts(2);
    cell.startStandin('wk', 'worker', {
      zone: 'a',
      entries: cell.platformAddressesOf('a'),
      address: `127.0.0.1:${workerPort}`,
    });
    cell.startStandin('up', 'upstream', {
      zone: 'a',
      entries: cell.platformAddressesOf('a'),
      address: `127.0.0.1:${port}`,
      service: 'desk',
    });
    expect(
      await waitForStatus(cell, 'a1', vms => vms[0]?.upstreams.length === 1),
    ).to.equal(true);
  });
  after(() => cell.destroy());

  const expectError = async (
    code: string,
    answer: ReturnType<typeof call>,
  ): Promise<void> => {
    expect(errorCode(await answer)).to.equal(code);
  };
  const write = {author: 'x', requestId: 'r1', firstSentAt: 1};
  const spec = {
    team: 't',
    profile: 'desk',
    taskCount: 1,
    size: {cpuMillis: 100, memoryMb: 1},
    command: 'run',
    runMs: 10,
  };
  const post = (body: unknown) =>
    call(client, 'POST', '/v1/jobs', {}, JSON.stringify(body));

  it('malformed JSON', () =>
    expectError(
      'malformed_json',
      call(client, 'POST', '/v1/jobs', {}, '{"spec": '),
    ));
  it('an oversized body', () =>
    expectError(
      'body_too_large',
      call(client, 'POST', '/v1/jobs', {}, 'x'.repeat(5000)),
    ));
  it('an oversized header', () =>
    expectError(
      'headers_too_large',
      call(client, 'GET', '/v1/jobs', {'x-long': 'x'.repeat(9000)}),
    ));
  it('a slow sender', async () => {
    const answer = await sendRaw(
      client,
      'POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"spec"',
    );
    expect(answer).to.include('slow_sender');
  });
  it('an unknown path', () =>
    expectError('unknown_path', call(client, 'GET', '/v2/none')));
  it('a wrong method', () =>
    expectError('method_not_allowed', call(client, 'DELETE', '/v1/jobs')));
  it('an unknown service', () =>
    expectError(
      'unknown_service',
      call(client, 'GET', '/v1/services/none/requests/x'),
    ));
  it('an unknown profile', () =>
    expectError(
      'unknown_profile',
      post({write, spec: {...spec, profile: 'none'}}),
    ));
  it('a negative size', () =>
    expectError(
      'invalid_input',
      post({write, spec: {...spec, size: {cpuMillis: -1, memoryMb: 1}}}),
    ));
  it('a size above the limit', () =>
    expectError(
      'invalid_input',
      post({write, spec: {...spec, size: {cpuMillis: 1e12, memoryMb: 1}}}),
    ));
  it('a job that no worker could ever hold', async () => {
    const size = {cpuMillis: 64_000, memoryMb: 1};
    const submit = async (): Promise<boolean> =>
      errorCode(await post({write, spec: {...spec, size}})) === 'never_fits';
    expect(await waitUntil(15_000, submit)).to.equal(true);
  });
  it('an epoch above the highest possible one', () => {
    const size = {cpuMillis: 1, memoryMb: 1};
    const worker = {
      worker: 'evil',
      zone: 'a',
      rack: 'r',
      address: '127.0.0.1:1',
      size,
      state: 'serving',
      seq: 1,
      fence: 0,
      epoch: 2 ** 52,
      tasks: [],
    };
    return expectError(
      'invalid_input',
      call(
        cell.getVm('a1').platform,
        'POST',
        '/v1/workers',
        {},
        JSON.stringify(worker),
      ),
    );
  });
  it('an unknown field', () =>
    expectError('invalid_input', post({write, spec, color: 'red'})));
  it('a write dated in the future', () =>
    expectError(
      'invalid_input',
      post({write: {...write, firstSentAt: Date.now() + 1e9}, spec}),
    ));
  it('a deadline that has passed', () =>
    expectError(
      'deadline_passed',
      call(client, 'GET', '/v1/services/desk/requests/x', {
        'primrosewick-deadline': '1000',
      }),
    ));
  it('a deadline that is not a number', () =>
    expectError(
      'invalid_input',
      call(client, 'GET', '/v1/services/desk/requests/x', {
        'primrosewick-deadline': 'soon',
      }),
    ));
  it('a missing operator token', () =>
    expectError('unauthorized', call(operator, 'GET', '/v1/profiles')));
  it('a wrong operator token', () =>
    expectError(
      'unauthorized',
      call(operator, 'GET', '/v1/profiles', {authorization: 'Bearer x'}),
    ));
  it('a profile name that differs between path and body', () => {
    const body = JSON.stringify({
      write,
      baseRevision: 0,
      profile: makeProfile('other'),
    });
    return expectError(
      'invalid_input',
      call(operator, 'PUT', '/v1/profiles/desk', auth, body),
    );
  });
  it('rejected requests are counted by code and step', async () => {
    const text = (await call(operator, 'GET', '/metrics')).body.toString(
      'utf8',
    );
    expect(text).to.match(
      /primrosewick_refusals_total\{code="slow_sender",step="read-body"\} 1/,
    );
  });
  it('with an invalid settings file the daemon exits with code 2 and reports file, line and reason', () => {
    const file = path.join(cell.root, 'bad.jsonc');
    writeFileSync(
      file,
      readFileSync(cell.settingsFile('a1'), 'utf8').replace('"cell"', '"sell"'),
    );
    const {status, stderr} = spawnSync(
      process.execPath,
      [DAEMON_SCRIPT, '--settings', file],
      {encoding: 'utf8'},
    );
    expect(status).to.equal(2);
    expect(stderr).to.match(/bad\.jsonc:\d+: sell: unknown key/);
  });
  it('a valid settings file passes --check', () => {
    const {status} = spawnSync(process.execPath, [
      DAEMON_SCRIPT,
      '--check',
      '--settings',
      cell.settingsFile('a1'),
    ]);
    expect(status).to.equal(0);
  });
}).timeout(120_000);
