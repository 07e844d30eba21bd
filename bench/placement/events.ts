interface Event {
  readonly at: number;
  readonly act: () => void;
}

/** Events in virtual time, in a binary heap. */
export class EventQueue {
  private readonly heap: Event[] = [];

  now = 0;

  schedule(at: number, act: () => void): void {
    const { heap } = this;
    const event = { at, act };
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const other = heap[parent];
      if (!other || other.at <= at) break;
      heap[index] = other;
      index = parent;
    }
    heap[index] = event;
  }

  /** Runs the events up to a time. */
  run(until: number): void {
    for (;;) {
      const [next] = this.heap;
      if (!next || next.at > until) break;
      this.removeFirst();
      this.now = next.at;
      next.act();
    }
    this.now = until;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const left = heap[child];
      const right = heap[child + 1];
      if (!left) break;
      if (right && right.at < left.at) child += 1;
      const smaller = heap[child];
      if (!smaller || smaller.at >= last.at) break;
      heap[index] = smaller;
      index = child;
    }
    heap[index] = last;
  }
}
