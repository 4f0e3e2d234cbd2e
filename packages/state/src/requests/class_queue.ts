import type {RequestId} from '../ids/types.js';
import {reviverOf} from '../utils/image.js';

/** A request that waits. */
export interface QueuedRequest {
  readonly id: RequestId;
  readonly cls: string;
  readonly priority: number;
  readonly deadline: number;
}

/** Requests of one class, in order of arrival. */
interface ClassLine {
  readonly cls: string;
  readonly priority: number;
  readonly waiting: Map<RequestId, QueuedRequest>;
}

/**
 * Waiting requests of one service: a class of higher priority goes first,
 * and within a class the earlier arrival.
 */
export class ClassQueue {
  private lines: ClassLine[] = [];

  /** Number of requests that wait. */
  get size(): number {
    return this.lines.reduce((sum, line) => sum + line.waiting.size, 0);
  }

  /** Number of requests of a class that wait. */
  sizeOf(cls: string): number {
    return this.lines.find(line => line.cls === cls)?.waiting.size ?? 0;
  }

  /** Number of waiting requests that go before a new one of a priority. */
  sizeAhead(priority: number): number {
    return this.lines
      .filter(line => line.priority >= priority)
      .reduce((sum, line) => sum + line.waiting.size, 0);
  }

  /** Adds a request at the end of its class. */
  add(waiting: QueuedRequest): void {
    this.lineOf(waiting).waiting.set(waiting.id, waiting);
  }

  /** @returns the request that goes next, without removing it. */
  peek(): QueuedRequest | undefined {
    const line = this.lines.find(({waiting}) => waiting.size > 0);
    return line?.waiting.values().next().value;
  }

  /** Removes a request. */
  remove(id: RequestId): void {
    for (const line of this.lines) line.waiting.delete(id);
  }

  /** All waiting requests, in the order in which they go. */
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

/** Makes a queue from its plain state. */
export const reviveClassQueue = reviverOf(ClassQueue.prototype);
