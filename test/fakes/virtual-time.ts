import type { Instant } from '../../src/model';

/** An action in the heap; `sequence` orders those of one instant as they were scheduled. */
interface ScheduledAction {
  readonly at: Instant;
  readonly sequence: number;
  readonly action: () => void;
}

const isBefore = (a: ScheduledAction, b: ScheduledAction): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** A simulated clock that runs scheduled actions in order, without waiting. */
export class VirtualTime {
  private readonly heap: ScheduledAction[] = [];

  private lastSequence = 0;

  private currentTime: Instant = 0;

  get now(): Instant {
    return this.currentTime;
  }

  /** Schedules an action for an instant; one in the past runs next. */
  at(instant: Instant, action: () => void): void {
    this.lastSequence += 1;
    this.heap.push({
      at: Math.max(instant, this.currentTime),
      sequence: this.lastSequence,
      action,
    });
    this.siftUp(this.heap.length - 1);
  }

  after(millis: number, action: () => void): void {
    this.at(this.currentTime + millis, action);
  }

  /** Runs every action due up to `end`, and sets the time to `end`. */
  runUntil(end: Instant): void {
    for (;;) {
      const next = this.heap[0];
      if (!next || next.at > end) break;
      this.pop();
      this.currentTime = next.at;
      next.action();
    }
    this.currentTime = Math.max(this.currentTime, end);
  }

  private pop(): void {
    const last = this.heap.pop();
    if (!last || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.swapIfBefore(index, parent)) return;
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (this.precedes(left, least)) least = left;
      if (this.precedes(right, least)) least = right;
      if (least === index) return;
      this.swapIfBefore(least, index);
      index = least;
    }
  }

  private precedes(index: number, other: number): boolean {
    const a = this.heap[index];
    const b = this.heap[other];
    return a !== undefined && b !== undefined && isBefore(a, b);
  }

  private swapIfBefore(index: number, other: number): boolean {
    const a = this.heap[index];
    const b = this.heap[other];
    if (!a || !b || !isBefore(a, b)) return false;
    this.heap[index] = b;
    this.heap[other] = a;
    return true;
  }
}
