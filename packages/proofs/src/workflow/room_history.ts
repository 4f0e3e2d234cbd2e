/** The room of one incarnation of a worker, which may shrink and grow while it runs. */
import {fitsInto, type Resources} from '@primrosewick/state';

/** How long an earlier room counts once a later one was acknowledged, in ms. */
const EARLIER_ROOM_MS = 4000;

interface EarlierRoom {
  readonly room: Resources;
  /** When a report of a later room was acknowledged; unset until then. */
  replacedAt?: number;
}

/** Decides by which rooms a start may be judged. */
export class RoomHistory {
  private readonly earlier: EarlierRoom[] = [];

  constructor(private room: Resources) {}

  /** The room that the worker reports now. */
  get current(): Resources {
    return this.room;
  }

  /** Changes the room. */
  change(room: Resources): void {
    this.earlier.push({room: this.room});
    this.room = room;
  }

  /** Notes that a report of a room was acknowledged, at a virtual time in ms. */
  noteAcknowledged(room: Resources, at: number): void {
    if (room !== this.room) return;
    for (const entry of this.earlier) entry.replacedAt ??= at;
  }

  /** Whether a start that was sent at a virtual time in ms may bring the worker to `used`. */
  allows(used: Resources, sentAt: number): boolean {
    if (fitsInto(used, this.room)) return true;
    return this.earlier.some(
      ({room, replacedAt = sentAt}) =>
        sentAt <= replacedAt + EARLIER_ROOM_MS && fitsInto(used, room),
    );
  }
}
