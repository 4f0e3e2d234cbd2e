/** Parses the `--name value` pairs of a command line. */
export const readArgs = (
  argv: readonly string[],
): ReadonlyMap<string, string> => {
  const args = new Map<string, string>();
  for (let i = 0; i + 1 < argv.length; i += 2) {
    const name = argv[i]?.replace(/^--/, '');
    if (name) args.set(name, argv[i + 1] ?? '');
  }
  return args;
};

/**
 * Looks up a required argument.
 * @throws Error when it is missing.
 */
export const requireArg = (
  args: ReadonlyMap<string, string>,
  name: string,
): string => {
  const value = args.get(name);
  if (value === undefined) throw new Error(`missing --${name}`);
  return value;
};
