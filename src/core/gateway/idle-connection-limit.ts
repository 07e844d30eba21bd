import type { Instant, Millis } from '../../model';

/**
 * Idle time in milliseconds up to which a connection is reused for a request that can't be retried.
 */
const UNSAFE_IDLE_LIMIT_MS: Millis = 2000;
/** Ratio of the limit after a reset to the time that the reset connection had been idle. */
const LIMIT_TO_RESET_IDLE_RATIO = 0.5;
/**
 * Time in milliseconds after a reset for which its limit applies; such faults last some seconds.
 */
const LEARNED_LIMIT_LIFETIME_MS: Millis = 8000;

/**
 * Limits how long a connection may have been idle when it is reused. Load pattern: upstreams drop
 * idle connections without closing them and sooner than they announce, and reset the next request,
 * so that each request that can't be retried is lost if it reuses one of them.
 */
export class IdleConnectionLimit {
  /** Shortest limit in milliseconds set by recent resets, and the time of the last reset. */
  private lastLearned: { readonly idle: Millis; readonly at: Instant } | undefined;

  /** Lowers the limit after a reset on a connection that had been idle for `idle` milliseconds. */
  recordReset(idle: Millis, now: Instant): void {
    const limit = LIMIT_TO_RESET_IDLE_RATIO * idle;
    const known = this.learnedLimit(now);
    this.lastLearned = { idle: known === undefined ? limit : Math.min(known, limit), at: now };
  }

  /** Returns the longest time in milliseconds that a connection may have been idle to be reused. */
  maxIdle(retryable: boolean, now: Instant): Millis {
    const usual = retryable ? Number.POSITIVE_INFINITY : UNSAFE_IDLE_LIMIT_MS;
    return Math.min(usual, this.learnedLimit(now) ?? usual);
  }

  private learnedLimit(now: Instant): Millis | undefined {
    if (!this.lastLearned || now - this.lastLearned.at >= LEARNED_LIMIT_LIFETIME_MS)
      return undefined;
    return this.lastLearned.idle;
  }
}
