import {defineCommand} from 'citty';
import {COMMON_ARGS, UsageError, createApi} from '../client/api.js';
import {readDocument} from '../client/documents.js';
import {printJson, runCommand} from '../output/run.js';
import {formatTable} from '../output/table.js';

interface Revision {
  readonly revision: number;
  readonly author: string;
  readonly at: number;
  readonly profile: {readonly name: string};
}

const NAME_ARG = {
  type: 'positional',
  description: 'Name of the profile.',
  required: true,
} as const;

const put = defineCommand({
  meta: {
    name: 'put',
    description:
      'Write a profile. Example: primrosewick profile put desk.jsonc --base 1',
  },
  args: {
    file: {
      type: 'positional',
      description: 'Profile in JSON with comments.',
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
      const profile = readDocument(args.file);
      const path = `/v1/profiles/${encodeURIComponent(String(profile['name']))}`;
      const reply = await createApi(args).write<{revision: number}>(
        'PUT',
        path,
        {
          baseRevision: Number(args.base),
          profile,
        },
      );
      if (args.json) printJson(reply);
      else
        process.stdout.write(
          `profile ${String(profile['name'])}: revision ${reply.revision}\n`,
        );
    }),
});

const get = defineCommand({
  meta: {
    name: 'get',
    description:
      'Show the latest revision. Example: primrosewick profile get desk',
  },
  args: {name: NAME_ARG, ...COMMON_ARGS},
  run: ({args}) =>
    runCommand(async () =>
      printJson(
        await createApi(args).get(
          `/v1/profiles/${encodeURIComponent(args.name)}`,
        ),
      ),
    ),
});

const list = defineCommand({
  meta: {
    name: 'list',
    description: 'List all profiles. Example: primrosewick profile list',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const reply = await createApi(args).get<{profiles: Revision[]}>(
        '/v1/profiles',
      );
      if (args.json) printJson(reply);
      else process.stdout.write(revisionTable(reply.profiles));
    }),
});

const history = defineCommand({
  meta: {
    name: 'history',
    description:
      'List the retained revisions. Example: primrosewick profile history desk',
  },
  args: {name: NAME_ARG, ...COMMON_ARGS},
  run: ({args}) =>
    runCommand(async () => {
      const reply = await createApi(args).get<{revisions: Revision[]}>(
        `/v1/profiles/${encodeURIComponent(args.name)}/history`,
      );
      if (args.json) printJson(reply);
      else process.stdout.write(revisionTable(reply.revisions));
    }),
});

const diff = defineCommand({
  meta: {
    name: 'diff',
    description:
      'Compare two revisions. Example: primrosewick profile diff desk --from 1 --to 2',
  },
  args: {
    name: NAME_ARG,
    from: {type: 'string', description: 'Earlier revision.', required: true},
    to: {type: 'string', description: 'Later revision.', required: true},
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const reply = await createApi(args).get<{revisions: Revision[]}>(
        `/v1/profiles/${encodeURIComponent(args.name)}/history`,
      );
      const before = fieldsOf(revisionAt(reply.revisions, args.from).profile);
      const after = fieldsOf(revisionAt(reply.revisions, args.to).profile);
      for (const key of new Set([...before.keys(), ...after.keys()])) {
        if (before.get(key) === after.get(key)) continue;
        process.stdout.write(
          `${key}: ${before.get(key) ?? 'absent'} -> ${after.get(key) ?? 'absent'}\n`,
        );
      }
    }),
});

const revisionAt = (
  revisions: readonly Revision[],
  wanted: string,
): Revision => {
  const found = revisions.find(({revision}) => String(revision) === wanted);
  if (found) return found;
  throw new UsageError(
    `revision ${wanted} is not retained; see \`primrosewick profile history\``,
  );
};

/** Leaf fields of a document as JSON, by their dotted path. */
const fieldsOf = (value: unknown, path = ''): Map<string, string> => {
  if (typeof value !== 'object' || value === null)
    return new Map([[path, JSON.stringify(value)]]);
  const entries = Object.entries(value).flatMap(([key, field]) => [
    ...fieldsOf(field, path ? `${path}.${key}` : key),
  ]);
  return new Map(entries);
};

interface VmProfiles {
  readonly vm: string;
  readonly error?: {readonly code: string};
  readonly staleMs?: number;
  readonly profiles?: ReadonlyArray<{
    readonly name: string;
    readonly revision: number;
  }>;
}

const status = defineCommand({
  meta: {
    name: 'status',
    description:
      'Show the profile revisions in use on each VM. Example: primrosewick profile status',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runCommand(async () => {
      const {vms} = await createApi(args).get<{vms: VmProfiles[]}>(
        '/v1/status',
      );
      if (args.json)
        return printJson(
          vms.map(({vm, profiles, staleMs}) => ({vm, profiles, staleMs})),
        );
      process.stdout.write(
        formatTable(['VM', 'STALE MS', 'PROFILES'], vms.map(profileRow)),
      );
    }),
});

const profileRow = ({vm, error, staleMs, profiles}: VmProfiles): string[] => [
  vm,
  error ? error.code : String(staleMs),
  (profiles ?? []).map(({name, revision}) => `${name}@${revision}`).join(' '),
];

const revisionTable = (revisions: readonly Revision[]): string =>
  formatTable(
    ['PROFILE', 'REVISION', 'AUTHOR', 'ACCEPTED'],
    revisions.map(({profile, revision, author, at}) => [
      profile.name,
      String(revision),
      author,
      new Date(at).toISOString(),
    ]),
  );

/** Commands for profiles. */
export const profileCommand = defineCommand({
  meta: {name: 'profile', description: 'Write and show profiles.'},
  subCommands: {put, get, list, diff, history, status},
});
