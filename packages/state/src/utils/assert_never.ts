/**
 * Marks the branch of an exhaustive switch that no value can reach.
 * @param value - the value that the compiler has narrowed to `never`.
 */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected variant ${JSON.stringify(value)}`);
};
