import type { Instant, Millis } from '../../model';

/** A request that waits for a slot. */
export interface Waiter {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: Instant;
  /** Past it, starting is of no use: the answer would come after the request's deadline. */
  readonly startBy: Instant;
}

/** Whether a request may wait, or when to come back. */
export type Admission =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfter: Millis };

/** What is known of a service when a request would have to wait. */
export interface ServiceLoad {
  readonly slots: number;
  /** What a request usually takes. */
  readonly usualLatency: Millis;
}

/** The least that a refused caller is told to stay away. */
const LEAST_RETRY: Millis = 100;

const goesBefore = (a: Waiter, b: Waiter): boolean =>
  a.priority !== b.priority ? a.priority < b.priority : a.arrivedAt < b.arrivedAt;

/**
 * Requests that wait for a slot of one service, most urgent first, then oldest first. Load pattern:
 * more requests than slots for some seconds. Who can't start in time by the present pace is refused
 * at once, so that what waits is served and nobody waits in vain.
 */
export class WaitingLine<T extends Waiter> {
  private readonly waiters: T[] = [];

  get length(): number {
    return this.waiters.length;
  }

  /** When a request that came now would start, if slots go on being freed at the usual pace. */
  expectedWait(priority: number, load: ServiceLoad): Millis {
    const ahead = this.waiters.filter((waiter) => waiter.priority <= priority).length;
    return ((ahead + 1) * load.usualLatency) / Math.max(1, load.slots);
  }

  admit(waiter: Waiter, load: ServiceLoad): Admission {
    const wait = this.expectedWait(waiter.priority, load);
    if (waiter.arrivedAt + wait <= waiter.startBy) return { kind: 'wait' };
    return { kind: 'refuse', retryAfter: Math.max(LEAST_RETRY, wait) };
  }

  add(waiter: T): void {
    const at = this.waiters.findIndex((other) => goesBefore(waiter, other));
    this.waiters.splice(at < 0 ? this.waiters.length : at, 0, waiter);
  }

  remove(waiter: T): void {
    const at = this.waiters.indexOf(waiter);
    if (at >= 0) this.waiters.splice(at, 1);
  }

  /** All that wait, in the order in which they start. */
  all(): readonly T[] {
    return [...this.waiters];
  }

  /** Takes out those that can no longer start in time. */
  expired(now: Instant): readonly T[] {
    const late = this.waiters.filter(({ startBy }) => now > startBy);
    late.forEach((waiter) => this.remove(waiter));
    return late;
  }
}
