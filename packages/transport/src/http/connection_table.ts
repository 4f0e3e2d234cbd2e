/**
 * What is known of the connections to one address, and which of them have gone
 * silent. Pure: the caller owns the connections and closes them.
 */

/** State of one connection; times are monotonic, in ms. */
interface ConnectionState {
  /** When the call in flight was sent; undefined if there is none. */
  sentAt: number | undefined;
  /** When the last response began to arrive, or the connection was first used. */
  heardAt: number;
}

/** What a call without an answer tells of the other connections to its address. */
export interface SilenceFinding<C> {
  /** Silent connections with no call in flight. */
  readonly idle: readonly C[];
  /** Silent connections with a call in flight, beside the one without an answer. */
  readonly busy: readonly C[];
  /** Time since the call without an answer was sent, in ms. */
  readonly silentMs: number;
}

/** A call younger than this may be answered yet, whatever others come to, in ms. */
const YOUNG_CALL_MS = 250;

/** Connections of type `C` to one address. */
export class ConnectionTable<C> {
  private readonly known = new Map<C, ConnectionState>();

  /** Whether no connection is known. */
  get isEmpty(): boolean {
    return this.known.size === 0;
  }

  /** Notes a call that is sent; @returns whether it is the connection's first. */
  noteSent(connection: C, now: number): boolean {
    const state = this.known.get(connection);
    if (state) {
      state.sentAt = now;
      return false;
    }
    this.known.set(connection, {sentAt: now, heardAt: now});
    return true;
  }

  /** Notes a response that begins to arrive. */
  noteHeard(connection: C, now: number): void {
    const state = this.known.get(connection);
    if (!state) return;
    state.heardAt = now;
    state.sentAt = undefined;
  }

  /** Forgets a connection that has closed. */
  forget(connection: C): void {
    this.known.delete(connection);
  }

  /**
   * Finds the other connections that have received nothing since the call without
   * an answer on this one was due, except those with a young call.
   * @param waitMs - time for which the peer was asked to wait before it responds.
   */
  findSilent(connection: C, now: number, waitMs = 0): SilenceFinding<C> {
    const sentAt = this.known.get(connection)?.sentAt;
    if (sentAt === undefined) return {idle: [], busy: [], silentMs: 0};
    const dueAt = sentAt + waitMs;
    const silent = [...this.known].filter(
      ([other, state]) => other !== connection && isSilent(state, dueAt, now),
    );
    const isIdle = ([, state]: [C, ConnectionState]) =>
      state.sentAt === undefined;
    return {
      idle: silent.filter(isIdle).map(([other]) => other),
      busy: silent.filter(entry => !isIdle(entry)).map(([other]) => other),
      silentMs: Math.round(now - sentAt),
    };
  }
}

/** Whether a connection has received nothing since a time, and no young call waits on it. */
const isSilent = (
  {sentAt, heardAt}: ConnectionState,
  since: number,
  now: number,
): boolean => {
  const isYoung = sentAt !== undefined && now - sentAt < YOUNG_CALL_MS;
  return heardAt <= since && !isYoung;
};
