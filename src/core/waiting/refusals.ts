import type { Instant, Millis } from '../../model';

/** Shortest time in milliseconds after which a refused caller is told to retry. */
const MIN_RETRY_AFTER_MS: Millis = 100;
/**
 * Longest time in milliseconds, before its random spread; faults of upstreams last some seconds, so
 * that the capacity after that is not known.
 */
const MAX_RETRY_AFTER_MS: Millis = 5000;
/** Ratio of the largest random extension of a time to that time, so that callers spread. */
const SPREAD_RATIO = 0.25;
/** Time in milliseconds for which a refusal is reported to other hosts. */
const REPORT_TIME_MS: Millis = 500;

/**
 * Tells refused callers when to return: each at the next start that is expected to be free for its
 * priority and that has not been promised to another one. Load pattern: a burst far beyond the
 * capacity; callers told the same time would return as another burst.
 */
export class Refusals {
  /** Latest promised return by priority. */
  private readonly promised = new Map<number, Instant>();

  /** Time of the last refusal by priority. */
  private readonly lastAt = new Map<number, Instant>();

  constructor(private readonly random: () => number) {}

  /**
   * Returns the time in milliseconds until a refused caller of this priority should return, given
   * its expected wait and the time between two starts that are left to its priority.
   */
  retryAfter(priority: number, wait: Millis, startInterval: Millis, now: Instant): Millis {
    const free = (this.promised.get(priority) ?? Number.NEGATIVE_INFINITY) + startInterval;
    const earliest = now + Math.max(MIN_RETRY_AFTER_MS, wait);
    const at = Math.min(now + MAX_RETRY_AFTER_MS, Math.max(earliest, free));
    this.promised.set(priority, at);
    this.lastAt.set(priority, now);
    return (at - now) * (1 + SPREAD_RATIO * this.random());
  }

  /** Returns the priorities of which requests were refused lately. */
  recentPriorities(now: Instant): readonly number[] {
    return [...this.lastAt].flatMap(([priority, at]) =>
      now - at <= REPORT_TIME_MS ? [priority] : [],
    );
  }
}
