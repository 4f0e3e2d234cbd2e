import {callJson, sleep} from '@primrosewick/transport';

/** Options of an announcer. */
export interface AnnouncerOptions<T> {
  /** Platform addresses of the zone's entries; a failed call moves on to the next. */
  readonly entries: readonly string[];
  readonly path: string;
  readonly periodMs: number;
  /** Builds the next announcement. */
  readonly nextAnnouncement: () => unknown;
  /** Handles the response. */
  readonly onReply: (reply: T) => void;
}

const CALL_TIMEOUT_MS = 1500;

/** Sends announcements periodically, one call at a time. */
export class Announcer<T> {
  private at = 0;
  private isStopped = false;

  constructor(private readonly options: AnnouncerOptions<T>) {}

  /** Sends announcements until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.announce();
      await sleep(this.options.periodMs);
    }
  }

  /** Stops after the call in progress. */
  stop(): void {
    this.isStopped = true;
  }

  /** Sends one announcement; errors are ignored. */
  async announce(): Promise<void> {
    const {entries, path, nextAnnouncement, onReply} = this.options;
    const address = entries[this.at % entries.length];
    if (!address) return;
    try {
      onReply(
        await callJson<T>({
          address,
          method: 'POST',
          path,
          body: nextAnnouncement(),
          timeoutMs: CALL_TIMEOUT_MS,
        }),
      );
    } catch {
      this.at++;
    }
  }
}
