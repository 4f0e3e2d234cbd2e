/**
 * Serializes a value as JSON with sorted keys, so that equal values give equal
 * text on every VM.
 * @param value - plain data without cycles.
 */
export const canonicalJson = (value: unknown): string =>
  JSON.stringify(value, sortKeys);

const isPlainObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const sortKeys = (_key: string, value: unknown): unknown => {
  if (!isPlainObject(value)) return value;
  const sorted: Record<string, unknown> = {};
  for (const key of Object.keys(value).sort()) sorted[key] = value[key];
  return sorted;
};
