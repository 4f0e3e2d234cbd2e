import type {RequestId} from '../ids/types.js';
import {reviverOf} from '../utils/image.js';

/** A queued request. */
export interface QueuedRequest {
  readonly id: RequestId;
  readonly cls: string;
  readonly priority: number;
  readonly deadline: number;
}

/** Queued requests of one class, first in, first out. */
interface ClassLine {
  readonly cls: string;
  readonly priority: number;
  readonly waiting: Map<RequestId, QueuedRequest>;
}

/**
 * Queued requests of one service, by class priority (highest first) and first
 * in, first out within a class.
 */
export class ClassQueue {
  private lines: ClassLine[] = [];

  /** Number of queued requests. */
  get size(): number {
    return this.lines.reduce((sum, line) => sum + line.waiting.size, 0);
  }

  /** Number of queued requests of a class. */
  sizeOf(cls: string): number {
    return this.lines.find(line => line.cls === cls)?.waiting.size ?? 0;
  }

  /** Number of queued requests ahead of a new one of a priority. */
  sizeAhead(priority: number): number {
    return this.lines
      .filter(line => line.priority >= priority)
      .reduce((sum, line) => sum + line.waiting.size, 0);
  }

  /** Adds a request at the end of its class. */
  add(waiting: QueuedRequest): void {
    this.lineOf(waiting).waiting.set(waiting.id, waiting);
  }

  /** @returns the next request to dispatch, without removing it. */
  peek(): QueuedRequest | undefined {
    const line = this.lines.find(({waiting}) => waiting.size > 0);
    return line?.waiting.values().next().value;
  }

  /** Removes a request. */
  remove(id: RequestId): void {
    for (const line of this.lines) line.waiting.delete(id);
  }

  /** All queued requests, in dispatch order. */
  list(): QueuedRequest[] {
    return this.lines.flatMap(line => [...line.waiting.values()]);
  }

  private lineOf({cls, priority}: QueuedRequest): ClassLine {
    const known = this.lines.find(
      line => line.cls === cls && line.priority === priority,
    );
    if (known) return known;
    const line: ClassLine = {cls, priority, waiting: new Map()};
    this.lines = [...this.lines, line].sort((a, b) => b.priority - a.priority);
    return line;
  }
}

/** Restores a queue from its deserialized state. */
export const reviveClassQueue = reviverOf(ClassQueue.prototype);
