import {defineCommand} from 'citty';
import {COMMON_ARGS, createApi} from '../client/api.js';
import {printJson, runCommand} from '../output/run.js';
import {formatTable} from '../output/table.js';
import {upstreamRows, workerRows, type CellStatus} from './status.js';

const upstreams = defineCommand({
  meta: {
    name: 'list',
    description: 'List the upstreams. Example: primrosewick upstream list',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const {vms} = await createApi(args).get<CellStatus>('/v1/status');
      if (args.json) return printJson(vms.flatMap(vm => vm.upstreams ?? []));
      process.stdout.write(
        formatTable(
          ['UPSTREAM', 'SERVICE', 'SLOTS', 'LENT', 'IN FLIGHT', 'STATE'],
          vms.flatMap(upstreamRows),
        ),
      );
    }),
});

const workers = defineCommand({
  meta: {
    name: 'list',
    description: 'List the workers. Example: primrosewick worker list',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const {vms} = await createApi(args).get<CellStatus>('/v1/status');
      if (args.json) return printJson(vms.flatMap(vm => vm.workers ?? []));
      process.stdout.write(
        formatTable(
          ['WORKER', 'RACK', 'STATE', 'CPU USED', 'TASKS'],
          vms.flatMap(workerRows),
        ),
      );
    }),
});

const setQuota = defineCommand({
  meta: {
    name: 'set',
    description:
      'Set the quota of a team. Example: primrosewick quota set association --cpu 64000',
  },
  args: {
    team: {
      type: 'positional',
      description: 'Name of the team.',
      required: true,
    },
    cpu: {
      type: 'string',
      description:
        'Limit on the total CPU of its running tasks, in thousandths of a core.',
      required: true,
    },
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const body = {team: args.team, cpuMillis: Number(args.cpu)};
      await createApi(args).write(
        'PUT',
        `/v1/quotas/${encodeURIComponent(args.team)}`,
        body,
      );
      process.stdout.write(
        `quota of ${args.team}: ${args.cpu} thousandths of a core\n`,
      );
    }),
});

const listQuotas = defineCommand({
  meta: {
    name: 'list',
    description: 'List the quotas. Example: primrosewick quota list',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const reply = await createApi(args).get<{
        quotas: Array<{team: string; cpuMillis: number}>;
      }>('/v1/quotas');
      if (args.json) return printJson(reply);
      process.stdout.write(
        formatTable(
          ['TEAM', 'CPU MILLIS'],
          reply.quotas.map(({team, cpuMillis}) => [team, String(cpuMillis)]),
        ),
      );
    }),
});

/** Commands for upstreams. */
export const upstreamCommand = defineCommand({
  meta: {name: 'upstream', description: 'Show the upstreams.'},
  subCommands: {list: upstreams},
});

/** Commands for workers. */
export const workerCommand = defineCommand({
  meta: {name: 'worker', description: 'Show the workers.'},
  subCommands: {list: workers},
});

/** Commands for quotas. */
export const quotaCommand = defineCommand({
  meta: {name: 'quota', description: 'Set and show the quotas of teams.'},
  subCommands: {set: setQuota, list: listQuotas},
});
