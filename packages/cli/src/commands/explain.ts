import {defineCommand} from 'citty';
import {COMMON_ARGS, createApi} from '../client/api.js';
import {describeSilentVms} from '../output/gaps.js';
import {EXIT_CODES, printJson, runCommand} from '../output/run.js';

interface Note {
  readonly at: number;
  readonly vm: string;
  readonly subject: string;
  readonly reason: string;
}

/** Explains the decisions about a request, job, task or worker. */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      'Explain the decisions about a subject. Example: primrosewick explain job-7',
  },
  args: {
    subject: {
      type: 'positional',
      description: 'Id of a request, job, task or worker.',
      required: true,
    },
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const reply = await createApi(args).get<{
        notes: Note[];
        unanswered?: Array<{vm: string}>;
      }>(`/v1/explain/${encodeURIComponent(args.subject)}`);
      if (args.json) return printJson(reply);
      for (const note of reply.notes) process.stdout.write(`${lineOf(note)}\n`);
      process.stderr.write(describeSilentVms(reply.unanswered));
      if (reply.notes.length > 0) return;
      process.stdout.write(
        `nothing is kept about ${args.subject} where this was answered; reasons are kept in memory and the oldest are dropped\n`,
      );
      process.exitCode = EXIT_CODES.refused;
    }),
});

const lineOf = ({at, vm, subject, reason}: Note): string =>
  `${new Date(at).toISOString()} ${vm} ${subject}: ${reason}`;
