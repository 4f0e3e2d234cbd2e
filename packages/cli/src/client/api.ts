/** Client of the operator API, which every entry of the cell serves. */
import {readFileSync} from 'node:fs';
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {CellError} from '@primrosewick/state';
import {callJson, sleep} from '@primrosewick/transport';

/** Options of the client. */
export interface ApiOptions {
  /** Operator addresses of entries, tried in order. */
  readonly entries: readonly string[];
  readonly token: string;
  readonly author: string;
}

/** Identifies a write, which makes it safe to send again. */
export interface WriteId {
  readonly author: string;
  readonly requestId: string;
  readonly firstSentAt: number;
}

const CALL_TIMEOUT_MS = 8000;
const MAX_WRITE_TRIES = 4;
const RETRY_PAUSE_MS = 500;

/** Client of the operator API. */
export class Api {
  constructor(private readonly options: ApiOptions) {}

  /** Sends a GET request. */
  get<T>(path: string): Promise<T> {
    return this.tryEntries(address =>
      this.call<T>(address, 'GET', path, undefined),
    );
  }

  /**
   * Sends a write, and retries it under the same id if its response is lost or
   * the log is unavailable or overloaded.
   * @param body - the write without its id.
   */
  async write<T>(
    method: 'PUT' | 'POST',
    path: string,
    body: object,
  ): Promise<T> {
    const write = this.newWriteId();
    for (let attempt = 1; ; attempt++) {
      try {
        return await this.tryEntries(address =>
          this.call<T>(address, method, path, {...body, write}),
        );
      } catch (err) {
        const mayRetry = err instanceof CellError && mayRetryWrite(err);
        if (!mayRetry || attempt === MAX_WRITE_TRIES) throw err;
        await sleep(RETRY_PAUSE_MS);
      }
    }
  }

  private newWriteId(): WriteId {
    return {
      author: this.options.author,
      requestId: randomUUID(),
      firstSentAt: Date.now(),
    };
  }

  private async tryEntries<T>(
    call: (address: string) => Promise<T>,
  ): Promise<T> {
    let lastError: unknown;
    for (const address of this.options.entries) {
      try {
        return await call(address);
      } catch (err) {
        lastError = err;
        const shouldTryNext =
          err instanceof CellError &&
          (err.code === 'peer_unreachable' ||
            err.code === 'starting' ||
            err.code === 'stopping');
        if (!shouldTryNext) throw err;
      }
    }
    throw lastError;
  }

  private call<T>(
    address: string,
    method: string,
    path: string,
    body: unknown,
  ): Promise<T> {
    const headers = {authorization: `Bearer ${this.options.token}`};
    return callJson<T>({
      address,
      method,
      path,
      headers,
      body,
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }
}

/** Whether an error allows a write to be retried under the same id. */
const mayRetryWrite = ({code}: CellError): boolean =>
  code === 'peer_timeout' ||
  code === 'log_outcome_unknown' ||
  code === 'log_unavailable' ||
  code === 'log_overloaded';

/** Arguments shared by the commands that call the cell. */
export const COMMON_ARGS = {
  entry: {
    type: 'string',
    description:
      'Operator addresses of entries, separated by commas; defaults to PRIMROSEWICK_ENTRY.',
  },
  'token-file': {
    type: 'string',
    description:
      "File with the operators' token; defaults to PRIMROSEWICK_TOKEN_FILE.",
  },
  author: {
    type: 'string',
    description: 'Author recorded with writes; defaults to the user name.',
  },
  json: {type: 'boolean', description: 'Print JSON.'},
} as const;

/** Values of the shared arguments. */
export interface CommonArgs {
  readonly entry?: string;
  readonly 'token-file'?: string;
  readonly author?: string;
  readonly json?: boolean;
}

/**
 * Creates a client from the shared arguments.
 * @throws UsageError when the address or the token file is missing, or the file cannot be read.
 */
export const createApi = (args: CommonArgs): Api => {
  const entry = args.entry ?? process.env['PRIMROSEWICK_ENTRY'];
  const tokenFile =
    args['token-file'] ?? process.env['PRIMROSEWICK_TOKEN_FILE'];
  if (!entry)
    throw new UsageError(
      'no entry given: use --entry ADDRESS or set PRIMROSEWICK_ENTRY',
    );
  if (!tokenFile)
    throw new UsageError(
      'no token given: use --token-file FILE or set PRIMROSEWICK_TOKEN_FILE',
    );
  return new Api({
    entries: entry.split(','),
    token: readToken(tokenFile),
    author: args.author ?? userInfo().username,
  });
};

/** Thrown when a command cannot run as given; it ends with `EXIT_CODES.usage`. */
export class UsageError extends Error {}

const readToken = (file: string): string => {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (err) {
    throw new UsageError(
      `cannot read the token: ${err instanceof Error ? err.message : String(err)}`,
    );
  }
};
