import type { Instant, Millis } from '../../model';

/** A request that can't be repeated takes a connection only if it was used this recently. */
const UNSAFE_IDLE_LIMIT_MS: Millis = 2000;
/** After a reset, connections are trusted for this part of the time that the reset one was idle. */
const LIMIT_TO_RESET_IDLE_RATIO = 0.5;
/** Time after a reset in which the trust grows back; such trouble lasts some seconds. */
const LEARNED_LIMIT_LIFETIME_MS: Millis = 8000;

/**
 * For how long an idle connection may carry another request. Load pattern: upstreams drop idle
 * connections without a word and sooner than they say, and reset what is sent there next, so that
 * each request that can't be repeated and takes one of them is lost.
 */
export class IdleConnectionLimit {
  /** The shortest trust that a reset left, and when. */
  private lastLearned: { readonly idle: Millis; readonly at: Instant } | undefined;

  /** Takes that a request was reset on a connection that had been idle for so long. */
  recordReset(idle: Millis, now: Instant): void {
    const trusted = LIMIT_TO_RESET_IDLE_RATIO * idle;
    const known = this.learnedLimit(now);
    this.lastLearned = { idle: known === undefined ? trusted : Math.min(known, trusted), at: now };
  }

  /** The longest that a connection may have been idle. */
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
