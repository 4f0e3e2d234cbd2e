import {concatMap, Subject, type Observable, type Subscription} from 'rxjs';

/** Options of a mailbox. */
export interface MailboxOptions<M> {
  /** Handles one message; the next waits until it has ended. */
  readonly handle: (message: M) => Promise<void> | void;
  /** Called when `handle` throws; the task goes on with the next message. */
  readonly onError: (err: unknown, message: M) => void;
}

/** Inbox of a task that owns its state: messages are handled one at a time. */
export class Mailbox<M> {
  private readonly inbox = new Subject<M>();
  private readonly subscription: Subscription;

  constructor({handle, onError}: MailboxOptions<M>) {
    const handleSafely = async (message: M): Promise<void> => {
      try {
        await handle(message);
      } catch (err) {
        onError(err, message);
      }
    };
    this.subscription = this.inbox.pipe(concatMap(handleSafely)).subscribe();
  }

  /** Adds a message. */
  send(message: M): void {
    this.inbox.next(message);
  }

  /** Feeds the mailbox from a stream, such as a timer. */
  feed(source: Observable<M>): void {
    this.subscription.add(source.subscribe(message => this.send(message)));
  }

  /** Drops what waits and stops. */
  close(): void {
    this.subscription.unsubscribe();
  }
}
