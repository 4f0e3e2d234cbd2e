import {defineCommand} from 'citty';
import {COMMON_ARGS, createApi, type Api} from '../client/api.js';
import {readDocument} from '../client/documents.js';
import {describeCutList} from '../output/gaps.js';
import {EXIT_CODES, printJson, runCommand} from '../output/run.js';
import {formatTable} from '../output/table.js';

interface JobView {
  readonly id: string;
  readonly state: string;
  readonly team: string;
  readonly homeZone: string;
  readonly taskCount: number;
  readonly outcomes: Readonly<Record<string, number>>;
}

const ID_ARG = {
  type: 'positional',
  description: 'Id of the job.',
  required: true,
} as const;
const LONG_POLL_MS = 5000;

const submit = defineCommand({
  meta: {
    name: 'submit',
    description:
      'Submit a job. Example: primrosewick job submit deposits.jsonc --wait',
  },
  args: {
    file: {
      type: 'positional',
      description: 'Job specification in JSON with comments.',
      required: true,
    },
    wait: {type: 'boolean', description: 'Wait until the job has ended.'},
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const api = createApi(args);
      const reply = await api.write<{job: string}>('POST', '/v1/jobs', {
        spec: readDocument(args.file),
      });
      if (!args.json) process.stdout.write(`job ${reply.job}: accepted\n`);
      else if (!args.wait) printJson(reply);
      if (args.wait) await waitForEnd(api, reply.job, args.json ?? false);
    }),
});

const wait = defineCommand({
  meta: {
    name: 'wait',
    description:
      'Wait until a job has ended. Example: primrosewick job wait job-7',
  },
  args: {id: ID_ARG, ...COMMON_ARGS},
  run: ({args}) =>
    runCommand(() => waitForEnd(createApi(args), args.id, args.json ?? false)),
});

const status = defineCommand({
  meta: {
    name: 'status',
    description: 'Show a job. Example: primrosewick job status job-7',
  },
  args: {id: ID_ARG, ...COMMON_ARGS},
  run: ({args}) =>
    runCommand(async () => {
      const {job} = await createApi(args).get<{job: JobView}>(pathOf(args.id));
      if (args.json) printJson(job);
      else process.stdout.write(`${lineOf(job)}\n`);
    }),
});

const cancel = defineCommand({
  meta: {
    name: 'cancel',
    description: 'Cancel a job. Example: primrosewick job cancel job-7',
  },
  args: {id: ID_ARG, ...COMMON_ARGS},
  run: ({args}) =>
    runCommand(async () => {
      await createApi(args).write('POST', `${pathOf(args.id)}/cancel`, {});
      process.stdout.write(`job ${args.id}: cancelled\n`);
    }),
});

const list = defineCommand({
  meta: {
    name: 'list',
    description: 'List jobs. Example: primrosewick job list --state open',
  },
  args: {
    state: {
      type: 'string',
      description: 'List only jobs in this state: open, cancelling or done.',
    },
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const query = args.state
        ? `?state=${encodeURIComponent(args.state)}`
        : '';
      const reply = await createApi(args).get<{total: number; jobs: JobView[]}>(
        `/v1/jobs${query}`,
      );
      if (args.json) return printJson(reply);
      const rows = reply.jobs.map(job => [
        job.id,
        job.state,
        job.team,
        job.homeZone,
        progressOf(job),
      ]);
      process.stdout.write(
        formatTable(['JOB', 'STATE', 'TEAM', 'ZONE', 'TASKS'], rows),
      );
      const counts = {total: reply.total, shown: rows.length, what: 'jobs'};
      process.stderr.write(describeCutList(counts));
    }),
});

const waitForEnd = async (
  api: Api,
  id: string,
  isJson: boolean,
): Promise<void> => {
  for (;;) {
    const {job} = await api.get<{job: JobView}>(
      `${pathOf(id)}?waitMs=${LONG_POLL_MS}`,
    );
    if (job.state === 'done') return reportEnd(job, isJson);
    if (!isJson) process.stdout.write(`${lineOf(job)}\n`);
  }
};

const reportEnd = (job: JobView, isJson: boolean): void => {
  if (isJson) printJson(job);
  else process.stdout.write(`${lineOf(job)}\n`);
  const succeeded = job.outcomes['succeeded'] ?? 0;
  if (succeeded < job.taskCount) process.exitCode = EXIT_CODES.refused;
};

const pathOf = (id: string): string => `/v1/jobs/${encodeURIComponent(id)}`;

const progressOf = ({outcomes, taskCount}: JobView): string => {
  const ended = Object.entries(outcomes).map(
    ([outcome, count]) => `${count} ${outcome}`,
  );
  return [`of ${taskCount}`, ...ended].join(', ');
};

const lineOf = (job: JobView): string =>
  `job ${job.id}: ${job.state}, ${progressOf(job)}`;

/** Commands for jobs. */
export const jobCommand = defineCommand({
  meta: {name: 'job', description: 'Submit, watch and cancel jobs.'},
  subCommands: {submit, wait, status, cancel, list},
});
