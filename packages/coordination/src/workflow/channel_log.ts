/** Logs what a worker's lists say about its runs. */
import type Logger from 'bunyan';
import {taskKey, type RunEnd, type WorkerId} from '@primrosewick/state';
import type {UnreadableRow} from './ports.js';

/** Minimum time between two lines about the unreadable rows of a worker, in ms. */
const UNREADABLE_INTERVAL_MS = 5000;
/** Maximum number of rows that one line names. */
const MAX_NAMED_ROWS = 5;

/** Logs the runs of one worker that end or cannot be read. */
export class ChannelLog {
  private nextUnreadableAt = Number.NEGATIVE_INFINITY;
  /** Lists with unreadable rows since the last line. */
  private unreadableLists = 0;

  constructor(
    private readonly logger: Logger,
    private readonly worker: WorkerId,
  ) {}

  /** Notes an end that is about to be recorded. */
  ended({task, run, outcome}: RunEnd): void {
    this.logger.info(
      {
        decision: 'run_ended',
        task: taskKey(task),
        run,
        outcome,
        worker: this.worker,
      },
      'run ended',
    );
  }

  /** Notes that the worker answers again after its lease had lapsed. */
  back(): void {
    this.logger.info(
      {change: 'worker_back', worker: this.worker},
      'worker answers again after its lease had lapsed',
    );
  }

  /** Notes a list after which more ends may follow. */
  endsLacking(listed: number, endsRecorded: number): void {
    this.logger.info(
      {change: 'ends_follow', worker: this.worker, listed, endsRecorded},
      'the worker may have more ends than it listed; asking for them',
    );
  }

  /** Notes the unreadable rows of lists that arrived at a monotonic time in ms. */
  unreadable(rows: readonly UnreadableRow[] = [], now: number): void {
    if (rows.length === 0) return;
    this.unreadableLists++;
    if (now < this.nextUnreadableAt) return;
    this.logger.error(
      {
        change: 'rows_unreadable',
        worker: this.worker,
        count: rows.length,
        lists: this.unreadableLists,
        rows: rows.slice(0, MAX_NAMED_ROWS).map(nameOf),
      },
      "left out rows of a worker's lists that cannot be decoded",
    );
    this.nextUnreadableAt = now + UNREADABLE_INTERVAL_MS;
    this.unreadableLists = 0;
  }
}

const nameOf = (row: UnreadableRow): string => {
  switch (row.list) {
    case 'running':
      return `running ${row.task ? taskKey(row.task) : 'unnamed'}`;
    case 'ended':
      return `ended ${row.sequence ?? 'unnumbered'}`;
  }
};
