import type { Instant, Millis } from '../../model';

/** A request in the queue of a service. */
export interface QueuedRequest {
  /** Priority of the request's route; 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: Instant;
  /**
   * Latest time at which it is still useful to start the request; past it, the request is removed.
   */
  readonly startBy: Instant;
}

/** The decision to queue a request or to refuse it; `retryAfter` is in milliseconds. */
export type QueueDecision =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfter: Millis };

/** The capacity of a service when a request would have to wait. */
export interface ServiceCapacity {
  /** Expected number of slots at healthy upstreams; it need not be whole. */
  readonly slots: number;
  /** Mean time in milliseconds that a request holds a slot. */
  readonly meanLatency: Millis;
}

/** Shortest time in milliseconds after which a refused caller is told to retry. */
const MIN_RETRY_AFTER_MS: Millis = 100;

/** Time constant in milliseconds of the exponential decay of the arrival rate. */
const ARRIVAL_DECAY_TIME_MS: Millis = 2000;
/** Lowest ratio of the freed slots assumed to be left for less urgent requests. */
const MIN_FREED_SLOT_RATIO = 0.02;

const goesBefore = (a: QueuedRequest, b: QueuedRequest): boolean =>
  a.priority !== b.priority ? a.priority < b.priority : a.arrivedAt < b.arrivedAt;

/**
 * Queues the requests that wait for a slot of one service, most urgent first, then oldest first.
 * Load pattern: more requests than slots for some seconds. A request that can't start in time at
 * the current rate is refused at once, so that the queued ones are served and none waits in vain.
 */
export class RequestQueue<T extends QueuedRequest> {
  private readonly requests: T[] = [];

  /** Exponentially decayed number of requests that had to wait, as of `at`, by priority. */
  private readonly arrivals = new Map<number, { readonly count: number; readonly at: Instant }>();

  get length(): number {
    return this.requests.length;
  }

  /**
   * Returns the time in milliseconds until a request arriving now would start, if slots are freed
   * at the mean rate and more urgent requests keep arriving at their current rate.
   */
  expectedWait(priority: number, capacity: ServiceCapacity, now: Instant): Millis {
    const ahead = this.requests.filter((queued) => queued.priority <= priority).length;
    const freedPerMs = Math.max(1, capacity.slots) / Math.max(1, capacity.meanLatency);
    const leftPerMs = Math.max(
      MIN_FREED_SLOT_RATIO * freedPerMs,
      freedPerMs - this.urgentArrivalRate(priority, now),
    );
    return (ahead + 1) / leftPerMs;
  }

  /** Decides whether a request may wait and counts it as arrived; it is not added to the queue. */
  admit(request: QueuedRequest, capacity: ServiceCapacity): QueueDecision {
    const wait = this.expectedWait(request.priority, capacity, request.arrivedAt);
    this.recordArrival(request);
    if (request.arrivedAt + wait <= request.startBy) return { kind: 'wait' };
    return { kind: 'refuse', retryAfter: Math.max(MIN_RETRY_AFTER_MS, wait) };
  }

  /** Returns the recent rate, per millisecond, of more urgent requests that had to wait. */
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
    const decayed = count * Math.exp((at - arrivedAt) / ARRIVAL_DECAY_TIME_MS);
    this.arrivals.set(priority, { count: decayed + 1, at: arrivedAt });
  }

  add(request: T): void {
    const at = this.requests.findIndex((other) => goesBefore(request, other));
    this.requests.splice(at < 0 ? this.requests.length : at, 0, request);
  }

  remove(request: T): void {
    const at = this.requests.indexOf(request);
    if (at >= 0) this.requests.splice(at, 1);
  }

  /** Returns the queued requests in the order in which they start. */
  all(): readonly T[] {
    return [...this.requests];
  }

  /** Removes and returns the requests that can no longer start in time. */
  removeExpired(now: Instant): readonly T[] {
    const late = this.requests.filter(({ startBy }) => now > startBy);
    late.forEach((request) => this.remove(request));
    return late;
  }
}
