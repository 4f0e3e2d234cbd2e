/** A binary heap whose least item takes the next turn. */
export class TurnHeap<T> {
  private readonly items: T[] = [];

  /** @param isBefore - a strict order of the items. */
  constructor(private readonly isBefore: (a: T, b: T) => boolean) {}

  /** Adds an item. */
  push(item: T): void {
    const {items} = this;
    let at = items.length;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.isBefore(item, items[parent]!)) break;
      items[at] = items[parent]!;
      at = parent;
    }
    items[at] = item;
  }

  /** Removes the least item; undefined if there is none. */
  pop(): T | undefined {
    const {items} = this;
    const least = items[0];
    const last = items.pop();
    if (last === undefined || items.length === 0) return least;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= items.length) break;
      const right = items[child + 1];
      if (right !== undefined && this.isBefore(right, items[child]!)) child++;
      if (!this.isBefore(items[child]!, last)) break;
      items[at] = items[child]!;
      at = child;
    }
    items[at] = last;
    return least;
  }
}
