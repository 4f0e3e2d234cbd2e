import {defineCommand} from 'citty';
import {sleep} from '@primrosewick/transport';
import {COMMON_ARGS, UsageError, createApi, type Api} from '../client/api.js';
import {printJson, runCommand} from '../output/run.js';
import {formatTable} from '../output/table.js';
import type {CellStatus} from './status.js';

interface Member {
  readonly vm: string;
  readonly node: string;
  readonly role: string;
  /** Whether the VM currently reports this identity. */
  readonly isPresent: boolean;
}

const POLL_MS = 1000;

const list = defineCommand({
  meta: {
    name: 'list',
    description:
      'List the members of the cell log. Example: primrosewick member list',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const members = await membersOf(createApi(args));
      if (args.json) return printJson(members);
      const rows = members.map(({vm, node, role, isPresent}) => [
        vm,
        node,
        role,
        isPresent ? 'yes' : 'no',
      ]);
      process.stdout.write(
        formatTable(['VM', 'IDENTITY', 'ROLE', 'PRESENT'], rows),
      );
    }),
});

const replace = defineCommand({
  meta: {
    name: 'replace',
    description:
      'Wait until a VM with a new data folder is a voter and has caught up. Example: primrosewick member replace krk-1',
  },
  args: {
    vm: {
      type: 'positional',
      description: 'VM whose data folder is new.',
      required: true,
    },
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const api = createApi(args);
      for (;;) {
        const own = (await membersOf(api)).filter(({vm}) => vm === args.vm);
        if (own.length === 0)
          throw new UsageError(
            `${args.vm} is not a member of the cell log; list it with "disk": true in the settings of all VMs`,
          );
        if (own.every(isPresentVoter)) break;
        process.stdout.write(
          `${own.map(({node, role, isPresent}) => `${node} ${role}${isPresent ? '' : ' (lost)'}`).join(', ')}\n`,
        );
        await sleep(POLL_MS);
      }
      process.stdout.write(`${args.vm} is a voter and holds everything\n`);
    }),
});

const isPresentVoter = ({role, isPresent}: Member): boolean =>
  isPresent && role !== 'learner';

const membersOf = async (api: Api): Promise<Member[]> => {
  const {vms} = await api.get<CellStatus>('/v1/status');
  const leader = vms.find(({log}) => log?.role === 'leader');
  if (!leader?.log)
    throw new UsageError(
      'no leader of the cell log can be reached; see `primrosewick status`',
    );
  const {voters, learners, node} = leader.log;
  const present = new Set(vms.flatMap(({log}) => (log ? [log.node] : [])));
  const member = (id: string, role: string): Member => ({
    vm: id.split('~')[0] ?? id,
    node: id,
    role,
    isPresent: present.has(id as never),
  });
  return [
    ...voters.map(id => member(id, id === node ? 'leader' : 'voter')),
    ...learners.map(id => member(id, 'learner')),
  ];
};

/** Commands for the members of the cell log. */
export const memberCommand = defineCommand({
  meta: {
    name: 'member',
    description: 'List the members of the cell log and wait for a replacement.',
  },
  subCommands: {list, replace},
});
