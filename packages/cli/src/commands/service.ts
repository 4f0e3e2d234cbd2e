import {defineCommand} from 'citty';
import {COMMON_ARGS, createApi, type CommonArgs} from '../client/api.js';
import {printJson, runCommand} from '../output/run.js';
import {formatTable} from '../output/table.js';

interface ServiceRecord {
  readonly revision: number;
  readonly state: string;
  readonly service: {readonly name: string; readonly profile: string};
}

const NAME_ARG = {
  type: 'positional',
  description: 'Name of the service.',
  required: true,
} as const;

const put = defineCommand({
  meta: {
    name: 'put',
    description:
      'Create a service or change its profile. Example: primrosewick service put desk --profile desk',
  },
  args: {
    name: NAME_ARG,
    profile: {
      type: 'string',
      description: 'Profile that applies to the service.',
      required: true,
    },
    base: {
      type: 'string',
      description: 'Revision on which the change is based; 0 to create.',
      default: '0',
    },
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const service = {name: args.name, profile: args.profile};
      const body = {baseRevision: Number(args.base), service};
      const reply = await createApi(args).write<{revision: number}>(
        'PUT',
        pathOf(args.name),
        body,
      );
      report(args, reply, `service ${args.name}: revision ${reply.revision}`);
    }),
});

const setState = (
  name: 'start' | 'drain' | 'stop',
  state: 'running' | 'draining' | 'stopped',
  description: string,
) =>
  defineCommand({
    meta: {
      name,
      description: `${description} Example: primrosewick service ${name} desk`,
    },
    args: {name: NAME_ARG, ...COMMON_ARGS},
    run: ({args}) =>
      runCommand(async () => {
        const reply = await createApi(args).write<{revision: number}>(
          'POST',
          `${pathOf(args.name)}/state`,
          {state},
        );
        report(args, reply, `service ${args.name}: ${state}`);
      }),
  });

const list = defineCommand({
  meta: {
    name: 'list',
    description: 'List all services. Example: primrosewick service list',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const reply = await createApi(args).get<{services: ServiceRecord[]}>(
        '/v1/services',
      );
      if (args.json) return printJson(reply);
      const rows = reply.services.map(({service, state, revision}) => [
        service.name,
        service.profile,
        state,
        String(revision),
      ]);
      process.stdout.write(
        formatTable(['SERVICE', 'PROFILE', 'STATE', 'REVISION'], rows),
      );
    }),
});

const pathOf = (name: string): string =>
  `/v1/services/${encodeURIComponent(name)}`;

const report = (args: CommonArgs, reply: unknown, line: string): void => {
  if (args.json) printJson(reply);
  else process.stdout.write(`${line}\n`);
};

/** Commands for services. */
export const serviceCommand = defineCommand({
  meta: {
    name: 'service',
    description: 'Create, start, drain and stop services.',
  },
  subCommands: {
    put,
    start: setState('start', 'running', 'Let a service accept requests.'),
    drain: setState(
      'drain',
      'draining',
      'Refuse new requests and let those in flight finish.',
    ),
    stop: setState('stop', 'stopped', 'Mark a drained service as stopped.'),
    list,
  },
});
