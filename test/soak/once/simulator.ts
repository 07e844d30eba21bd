import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Number of distinct values that a draw can give. */
const DRAW_RESOLUTION = 1 << 30;
/** Draws discarded at the start: the first draws of adjacent seeds are similar. */
const WARM_UP_DRAW_COUNT = 32;

interface ScheduledTask {
  readonly at: number;
  /** Order of scheduling, which decides between tasks at the same time. */
  readonly sequence: number;
  readonly run: () => void;
}

const isBefore = (a: ScheduledTask, b: ScheduledTask): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** Scheduler in virtual time, in milliseconds, with the random generator of one seed. */
export class Simulator {
  now = 0;

  /** Binary heap with the earliest task first. */
  private readonly heap: ScheduledTask[] = [];

  private lastSequence = 0;

  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    for (let draw = 0; draw < WARM_UP_DRAW_COUNT; draw++) this.chance(0);
  }

  after(delay: number, run: () => void): void {
    this.lastSequence += 1;
    const task = { at: this.now + delay, sequence: this.lastSequence, run };
    this.heap.push(task);
    let child = this.heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (isBefore(this.heap[parent]!, task)) break;
      this.heap[child] = this.heap[parent]!;
      child = parent;
    }
    this.heap[child] = task;
  }

  /** Runs all tasks due by `end` in order and leaves the time at `end`. */
  runUntil(end: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= end) {
      const task = this.pop();
      this.now = task.at;
      task.run();
    }
    this.now = end;
  }

  /** Returns a random number from `low` (included) to `high` (excluded). */
  between(low: number, high: number): number {
    return (
      low + (uniformInt(this.generator, 0, DRAW_RESOLUTION - 1) / DRAW_RESOLUTION) * (high - low)
    );
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.between(0, 1) < probability;
  }

  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.between(0, items.length))]!;
  }

  private pop(): ScheduledTask {
    const top = this.heap[0]!;
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return top;
    let parent = 0;
    for (;;) {
      let child = parent * 2 + 1;
      if (child >= this.heap.length) break;
      if (child + 1 < this.heap.length && isBefore(this.heap[child + 1]!, this.heap[child]!)) {
        child += 1;
      }
      if (isBefore(last, this.heap[child]!)) break;
      this.heap[parent] = this.heap[child]!;
      parent = child;
    }
    this.heap[parent] = last;
    return top;
  }
}
