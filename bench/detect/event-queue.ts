import type { Instant } from '../../src/model';

/** An event and the virtual time at which it occurs. */
interface ScheduledEvent<T> {
  readonly at: Instant;
  readonly value: T;
}

/** A priority queue of scheduled events, earliest first, kept as a binary heap. */
export class EventQueue<T> {
  private readonly heap: ScheduledEvent<T>[] = [];

  add(at: Instant, value: T): void {
    const { heap } = this;
    heap.push({ at, value });
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (this.timeAt(parent) <= this.timeAt(child)) return;
      this.swap(parent, child);
      child = parent;
    }
  }

  /** Removes and returns the earliest event; undefined when the queue is empty. */
  pop(): ScheduledEvent<T> | undefined {
    const { heap } = this;
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || !last) return first;
    heap[0] = last;
    this.siftDown();
    return first;
  }

  /** Moves the event at the root down to its place. */
  private siftDown(): void {
    let parent = 0;
    for (;;) {
      const left = 2 * parent + 1;
      const child = this.timeAt(left + 1) < this.timeAt(left) ? left + 1 : left;
      if (this.timeAt(parent) <= this.timeAt(child)) return;
      this.swap(parent, child);
      parent = child;
    }
  }

  /** Time of the event at a heap index; Infinity past the end. */
  private timeAt(index: number): Instant {
    return this.heap[index]?.at ?? Infinity;
  }

  private swap(a: number, b: number): void {
    const { heap } = this;
    const item = heap[a];
    const other = heap[b];
    if (item && other) {
      heap[a] = other;
      heap[b] = item;
    }
  }
}
