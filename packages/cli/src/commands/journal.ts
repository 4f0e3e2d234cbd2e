import {readFileSync} from 'node:fs';
import {defineCommand} from 'citty';
import type {JournalPage} from '@primrosewick/protocol';
import {replayJournal} from '@primrosewick/state';
import {COMMON_ARGS, UsageError, createApi} from '../client/api.js';
import {EXIT_CODES, runCommand} from '../output/run.js';

/** Prints the journal of one core of one VM. */
export const journalCommand = defineCommand({
  meta: {
    name: 'journal',
    description:
      'Print a journal. Example: primrosewick journal krk-1 placement > placement.jsonl',
  },
  args: {
    vm: {
      type: 'positional',
      description: 'VM that recorded the journal.',
      required: true,
    },
    core: {
      type: 'positional',
      description: 'Core of the journal: requests, placement or shares.',
      required: true,
    },
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const api = createApi(args);
      const path = `/v1/journal/${encodeURIComponent(args.vm)}/${encodeURIComponent(args.core)}`;
      let fromLine = 0;
      for (let hasMore = true; hasMore;) {
        const page = await api.get<JournalPage>(`${path}?fromLine=${fromLine}`);
        for (const line of page.lines) process.stdout.write(`${line}\n`);
        fromLine += page.lines.length;
        hasMore = page.hasMore && page.lines.length > 0;
      }
    }),
});

/** Replays a journal and compares the decisions with the recorded ones. */
export const replayCommand = defineCommand({
  meta: {
    name: 'replay',
    description:
      'Replay a journal and compare the decisions. Example: primrosewick replay placement.jsonl',
  },
  args: {
    file: {
      type: 'positional',
      description: 'Journal file, as printed by `primrosewick journal`.',
      required: true,
    },
  },
  run: ({args}) =>
    runCommand(async () => {
      const result = replayJournal(readLines(args.file));
      if (result.kind === 'same') {
        process.stdout.write(`${result.steps} decisions are the same\n`);
        return;
      }
      process.stdout.write(
        `line ${result.line} differs\nrecorded: ${result.recorded}\nreplayed: ${result.replayed}\n`,
      );
      process.exitCode = EXIT_CODES.refused;
    }),
});

const readLines = (file: string): string[] => {
  try {
    return readFileSync(file, 'utf8')
      .split('\n')
      .filter(line => line.length > 0);
  } catch (err) {
    throw new UsageError(err instanceof Error ? err.message : String(err));
  }
};
