import {readFileSync} from 'node:fs';
import {CellError} from '@primrosewick/state';

/**
 * Reads the operators' token.
 * @throws CellError `invalid_input` when the file cannot be read or is empty.
 */
export const readToken = (file: string): string => {
  const step = 'read-token';
  let token: string;
  try {
    token = readFileSync(file, 'utf8').trim();
  } catch (err) {
    throw new CellError({
      code: 'invalid_input',
      step,
      peer: file,
      detail: err instanceof Error ? err.message : undefined,
    });
  }
  if (token.length > 0) return token;
  throw new CellError({
    code: 'invalid_input',
    step,
    peer: file,
    detail: 'the token file is empty',
  });
};
