import {readFileSync} from 'node:fs';
import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {UsageError} from './api.js';

/**
 * Reads a document in JSON with comments.
 * @throws UsageError with the offset of the first syntax error.
 */
export const readDocument = (file: string): Record<string, unknown> => {
  const errors: ParseError[] = [];
  const value: unknown = parse(readText(file), errors, {
    allowTrailingComma: true,
  });
  const [first] = errors;
  if (first)
    throw new UsageError(
      `${file}: ${printParseErrorCode(first.error)} at character ${first.offset}`,
    );
  if (typeof value === 'object' && value !== null && !Array.isArray(value))
    return value as Record<string, unknown>;
  throw new UsageError(`${file}: expected a JSON object`);
};

const readText = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new UsageError(err instanceof Error ? err.message : String(err));
  }
};
