import {callJson, sleep} from '@primrosewick/transport';

/** Options of an announcer. */
export interface AnnouncerOptions<T> {
  /** Platform addresses of the zone's entries, tried in turn. */
  readonly entries: readonly string[];
  readonly path: string;
  readonly periodMs: number;
  /** Builds the next announcement. */
  readonly next: () => unknown;
  /** Takes the answer. */
  readonly onAnswer: (answer: T) => void;
}

const CALL_TIMEOUT_MS = 1500;

/** Announces something at a steady pace, one call at a time. */
export class Announcer<T> {
  private at = 0;
  private isStopped = false;

  constructor(private readonly options: AnnouncerOptions<T>) {}

  /** Announces until it is stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.announce();
      await sleep(this.options.periodMs);
    }
  }

  /** Stops after the call under way. */
  stop(): void {
    this.isStopped = true;
  }

  /** Announces once. */
  async announce(): Promise<void> {
    const {entries, path, next, onAnswer} = this.options;
    const address = entries[this.at % entries.length];
    if (!address) return;
    try {
      onAnswer(
        await callJson<T>({
          address,
          method: 'POST',
          path,
          body: next(),
          timeoutMs: CALL_TIMEOUT_MS,
        }),
      );
    } catch {
      this.at++;
    }
  }
}
