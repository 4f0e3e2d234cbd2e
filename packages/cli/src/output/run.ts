import {CellError} from '@primrosewick/state';
import {UsageError} from '../client/api.js';

/** Exit codes of the command line. */
export const EXIT_CODES = {
  done: 0,
  /** The cell refused the request. */
  refused: 1,
  /** The arguments or a document are invalid. */
  usage: 2,
  /** No entry was reachable, or the outcome is unknown. */
  unreachable: 3,
} as const;

/** Runs a command; an error is printed to stderr and sets the exit code. */
export const runCommand = async (
  command: () => Promise<void>,
): Promise<void> => {
  try {
    await command();
  } catch (err) {
    process.stderr.write(`${describeError(err)}\n`);
    process.exitCode = exitCodeOf(err);
  }
};

const describeError = (err: unknown): string => {
  if (!(err instanceof CellError))
    return err instanceof Error ? err.message : String(err);
  const hint =
    err.retryAfterMs > 0
      ? ` Try again in ${Math.ceil(err.retryAfterMs / 1000)} s.`
      : '';
  return `${err.code} (${err.outcome}) at ${err.step} of ${err.peer}: ${err.message}.${hint}`;
};

const exitCodeOf = (err: unknown): number => {
  if (err instanceof UsageError) return EXIT_CODES.usage;
  if (!(err instanceof CellError)) return EXIT_CODES.unreachable;
  if (err.code === 'invalid_input') return EXIT_CODES.usage;
  return err.code === 'peer_unreachable' || err.outcome === 'unknown'
    ? EXIT_CODES.unreachable
    : EXIT_CODES.refused;
};

/** Prints a value as JSON. */
export const printJson = (value: unknown): void => {
  process.stdout.write(JSON.stringify(value, null, 2) + '\n');
};
