import type { Instant, Millis } from '../../model';

/** A request that waits for a slot. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: Instant;
  /** Past it, starting is of no use: the answer would come after the request's deadline. */
  readonly startBy: Instant;
}

/** Whether a request may wait, or when to come back. */
export type QueueDecision =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfter: Millis };

/** What is known of a service when a request would have to wait. */
export interface ServiceCapacity {
  readonly slots: number;
  /** What a request usually takes. */
  readonly meanLatency: Millis;
}

/** The least that a refused caller is told to stay away. */
const MIN_RETRY_AFTER_MS: Millis = 100;

/** How long arrivals count for the rate at which they come. */
const ARRIVAL_DECAY_TIME_MS: Millis = 2000;
/** Part of the freed slots that less urgent requests are reckoned to get at least. */
const MIN_FREED_SLOT_RATIO = 0.02;

const goesBefore = (a: QueuedRequest, b: QueuedRequest): boolean =>
  a.priority !== b.priority ? a.priority < b.priority : a.arrivedAt < b.arrivedAt;

/**
 * Requests that wait for a slot of one service, most urgent first, then oldest first. Load pattern:
 * more requests than slots for some seconds. Who can't start in time by the present pace is refused
 * at once, so that what waits is served and nobody waits in vain.
 */
export class RequestQueue<T extends QueuedRequest> {
  private readonly requests: T[] = [];

  /** Requests that had to wait, by priority; older ones count for less. */
  private readonly arrivals = new Map<number, { readonly count: number; readonly at: Instant }>();

  get length(): number {
    return this.requests.length;
  }

  /**
   * The time until a request that came now would start, if slots go on being freed at the usual
   * pace and more urgent requests go on arriving at theirs.
   */
  expectedWait(priority: number, load: ServiceCapacity, now: Instant): Millis {
    const ahead = this.requests.filter((waiter) => waiter.priority <= priority).length;
    const freed = Math.max(1, load.slots) / Math.max(1, load.meanLatency);
    const left = Math.max(
      MIN_FREED_SLOT_RATIO * freed,
      freed - this.urgentArrivalRate(priority, now),
    );
    return (ahead + 1) / left;
  }

  admit(waiter: QueuedRequest, load: ServiceCapacity): QueueDecision {
    const wait = this.expectedWait(waiter.priority, load, waiter.arrivedAt);
    this.recordArrival(waiter);
    if (waiter.arrivedAt + wait <= waiter.startBy) return { kind: 'wait' };
    return { kind: 'refuse', retryAfter: Math.max(MIN_RETRY_AFTER_MS, wait) };
  }

  /** Requests a millisecond that are more urgent and had to wait lately. */
  private urgentArrivalRate(priority: number, now: Instant): number {
    let rate = 0;
    this.arrivals.forEach((arrivals, other) => {
      if (other < priority)
        rate += arrivals.count * Math.exp((arrivals.at - now) / ARRIVAL_DECAY_TIME_MS);
    });
    return rate / ARRIVAL_DECAY_TIME_MS;
  }

  private recordArrival({ priority, arrivedAt }: QueuedRequest): void {
    const { count, at } = this.arrivals.get(priority) ?? { count: 0, at: arrivedAt };
    const faded = count * Math.exp((at - arrivedAt) / ARRIVAL_DECAY_TIME_MS);
    this.arrivals.set(priority, { count: faded + 1, at: arrivedAt });
  }

  add(waiter: T): void {
    const at = this.requests.findIndex((other) => goesBefore(waiter, other));
    this.requests.splice(at < 0 ? this.requests.length : at, 0, waiter);
  }

  remove(waiter: T): void {
    const at = this.requests.indexOf(waiter);
    if (at >= 0) this.requests.splice(at, 1);
  }

  /** All that wait, in the order in which they start. */
  all(): readonly T[] {
    return [...this.requests];
  }

  /** Takes out those that can no longer start in time. */
  removeExpired(now: Instant): readonly T[] {
    const late = this.requests.filter(({ startBy }) => now > startBy);
    late.forEach((waiter) => this.remove(waiter));
    return late;
  }
}
