/**
 * A leader with one thread on virtual time: each step of a record waits for its
 * turn behind all other work, as in an event loop.
 */

/** Work of the thread. */
interface WorkItem {
  readonly costMs: number;
  readonly run: () => void;
}

/** Something that happens at a time without work of the thread. */
interface TimedEvent {
  readonly at: number;
  readonly run: () => void;
}

/** Thread time of one submission, in ms. */
const SUBMIT_MS = 2;
/** Thread time of one refusal, in ms. */
const REFUSE_MS = 0.3;
/** Thread time of the start and of the end of a task, in ms each. */
const TASK_STEP_MS = 4;
/** Thread time of each step of a write, in ms. */
const WRITE_STEP_MS = 1;
/** Time of the disk, and of the round trip to the followers, in ms. */
const SYNC_MS = 4;
const ROUND_TRIP_MS = 10;
/** Time for which a task runs, in ms. */
const RUN_MS = 300;
/** Interval of the samples of the event loop, in ms. */
const SAMPLE_MS = 100;
/** Time that a client waits for an answer, and that its work may take, in ms. */
const ANSWER_MS = 2500;
const USEFUL_MS = 3000;

/** Submissions that the thread can serve to their end in a second, at most. */
export const CAPACITY_PER_S = 1000 / (SUBMIT_MS + 2 * TASK_STEP_MS);

/** Admission of the simulated leader. */
export interface SimulatedAdmission {
  /** Decides about a submission, given those in flight and the time in ms. */
  mayTake(now: number, inFlight: number): boolean;
  /** Notes a proposal; returns what is to be called once it is applied. */
  propose(now: number): (now: number) => void;
  /** Takes a sample of the event loop. */
  sample(now: number): void;
}

/** Outcome of one submission. */
export interface SimulatedOutcome {
  readonly at: number;
  readonly isTaken: boolean;
  readonly answerMs: number;
  /** Time to the end of its work, in ms; undefined if it has not ended. */
  doneMs?: number;
}

/** Whether a submission was answered and done in time for its client. */
export const isServed = ({isTaken, answerMs, doneMs}: SimulatedOutcome) =>
  isTaken &&
  answerMs <= ANSWER_MS &&
  doneMs !== undefined &&
  doneMs <= USEFUL_MS;

/** The simulated leader. */
export class SimulatedLeader {
  readonly outcomes: SimulatedOutcome[] = [];
  private now = 0;
  private readonly work: WorkItem[] = [];
  private readonly events: TimedEvent[] = [];
  private readonly waitingRecords: Array<() => void> = [];
  private isWriting = false;
  private inFlight = 0;

  constructor(private readonly admission: SimulatedAdmission) {}

  /** Submits at a rate per second, from one time to another, in ms. */
  submit(perS: number, fromMs: number, toMs: number): void {
    for (let at = fromMs; at < toMs; at += 1000 / perS)
      this.at(at, () => this.arrive(at));
  }

  /** Runs until a time in ms. */
  run(endMs: number): void {
    this.at(SAMPLE_MS, () => this.sample());
    while (this.now < endMs) this.step();
  }

  private step(): void {
    this.runDueEvents();
    const item = this.work.shift();
    if (item) {
      this.now += item.costMs;
      this.runDueEvents();
      return item.run();
    }
    this.now = Math.max(this.now, this.events[0]?.at ?? Infinity);
  }

  private runDueEvents(): void {
    while (this.events[0] && this.events[0].at <= this.now)
      this.events.shift()!.run();
  }

  private at(at: number, run: () => void): void {
    let i = this.events.length;
    while (i > 0 && this.events[i - 1]!.at > at) i--;
    this.events.splice(i, 0, {at, run});
  }

  private do(costMs: number, run: () => void): void {
    this.work.push({costMs, run});
  }

  /** Timers run between two items of work, so that they are hardly late. */
  private sample(): void {
    this.admission.sample(this.now);
    this.at(this.now + SAMPLE_MS, () => this.sample());
  }

  private arrive(at: number): void {
    this.do(REFUSE_MS, () => {
      if (this.admission.mayTake(this.now, this.inFlight)) this.take(at);
      else this.outcomes.push({at, isTaken: false, answerMs: this.now - at});
    });
  }

  private take(at: number): void {
    this.inFlight++;
    this.do(SUBMIT_MS, () =>
      this.record(() => {
        this.inFlight--;
        const outcome: SimulatedOutcome = {
          at,
          isTaken: true,
          answerMs: this.now - at,
        };
        this.outcomes.push(outcome);
        this.runTask(() => (outcome.doneMs = this.now - at));
      }),
    );
  }

  private runTask(onDone: () => void): void {
    this.do(TASK_STEP_MS, () =>
      this.record(() =>
        this.at(this.now + RUN_MS, () =>
          this.do(TASK_STEP_MS, () => this.record(onDone)),
        ),
      ),
    );
  }

  private record(onApplied: () => void): void {
    const end = this.admission.propose(this.now);
    this.waitingRecords.push(() => {
      end(this.now);
      onApplied();
    });
    this.write();
  }

  /** Writes what waits; the end of the write and the replies are work of their own. */
  private write(): void {
    if (this.isWriting || this.waitingRecords.length === 0) return;
    this.isWriting = true;
    const batch = this.waitingRecords.splice(0);
    this.at(this.now + SYNC_MS, () =>
      this.do(WRITE_STEP_MS, () =>
        this.at(this.now + ROUND_TRIP_MS, () =>
          this.do(WRITE_STEP_MS, () => {
            this.isWriting = false;
            for (const apply of batch) apply();
            this.write();
          }),
        ),
      ),
    );
  }
}
