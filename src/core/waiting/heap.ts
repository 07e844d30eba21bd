/** A binary min-heap by key. The key of an item must not change while the heap holds it. */
export class Heap<Item> {
  private readonly items: Item[] = [];

  constructor(private readonly keyOf: (item: Item) => number) {}

  push(item: Item): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1);
  }

  pop(): Item | undefined {
    const [least] = this.items;
    const last = this.items.pop();
    if (last !== undefined && this.items.length > 0) {
      this.items[0] = last;
      this.siftDown(0);
    }
    return least;
  }

  /** Removes an item at any position in linear time. */
  remove(item: Item): void {
    const index = this.items.indexOf(item);
    if (index < 0) return;
    const last = this.items.pop();
    if (last === undefined || index === this.items.length) return;
    this.items[index] = last;
    this.siftUp(index);
    this.siftDown(index);
  }

  private before(left: number, right: number): boolean {
    return this.keyOf(this.items[left]!) < this.keyOf(this.items[right]!);
  }

  private swap(left: number, right: number): void {
    const item = this.items[left]!;
    this.items[left] = this.items[right]!;
    this.items[right] = item;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.before(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < this.items.length && this.before(left, least)) least = left;
      if (right < this.items.length && this.before(right, least)) least = right;
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }
}
