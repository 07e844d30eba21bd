import type { GatewayBounds, Instant, Millis } from '../../model';

/** Ratio of `repeatRatio` that is used; the rest allows for sliding windows and late arrivals. */
const RATIO_UTILIZATION = 0.85;
/** Ratio of `repeatBase` that is used. */
const BASE_UTILIZATION_RATIO = 0.7;
/**
 * Ratio of its share of `repeatBase` that a node may use at its start, so that its retries and
 * those of an earlier run stay within the bound.
 */
const INITIAL_BASE_RATIO = 0.4;

/** Ratio of the budget up to which hedges may use it. */
const HEDGE_BUDGET_RATIO = 0.5;

/**
 * What a retry is for: `failed` follows an attempt without a usable answer, `hedge` joins one that
 * is slow and may still succeed.
 */
export type RetryPurpose = 'failed' | 'hedge';

/** Multiple of a route's mean latency after which an attempt is most likely lost. */
const LOST_LATENCY_RATIO = 5;

/**
 * Returns what a second attempt is for that joins one without an answer for `elapsed` milliseconds.
 * Load pattern: upstreams crash without closing their connections while the hedges' part of the
 * budget is spent; requests that can only time out come before those that are merely slow.
 */
export const purposeOfHedge = (elapsed: Millis, meanLatency: Millis): RetryPurpose =>
  elapsed >= LOST_LATENCY_RATIO * meanLatency ? 'failed' : 'hedge';

/** The bounds on retries of the whole fleet, which a change of settings may alter. */
export type RetryBounds = Pick<GatewayBounds, 'repeatRatio' | 'repeatBase' | 'repeatWindow'>;

interface TimedEntry {
  readonly at: Instant;
}

const dropExpired = (entries: TimedEntry[], oldest: Instant): void => {
  const keep = entries.findIndex(({ at }) => at > oldest);
  entries.splice(0, keep < 0 ? entries.length : keep);
};

/**
 * Limits the retries that one node sends to a service in a sliding window. Load pattern: a third of
 * the upstreams fail and every node retries. The nodes' budgets add up to less than the fleet's
 * bound without coordination, since the ratio applies to each node's own requests and the fixed
 * allowance is shared evenly.
 */
export class WindowedRetryBudget {
  private readonly requests: TimedEntry[] = [];

  private readonly retries: TimedEntry[] = [];

  /** `startedAt` is this node's start; before it, an earlier run may have used its share. */
  constructor(
    private readonly bounds: () => RetryBounds,
    private readonly startedAt: Instant,
  ) {}

  recordRequest(now: Instant): void {
    this.requests.push({ at: now });
  }

  /**
   * Records a retry and returns true if the budget allows one. `sharers` is the number of nodes,
   * this one included, that share the fixed allowance; 0 if this node has no share. Load pattern:
   * upstreams turn slow and others fail at the same time; hedges, most of which are not needed,
   * would leave nothing for requests that fail without a retry.
   */
  take(sharers: number, now: Instant, purpose: RetryPurpose = 'failed'): boolean {
    const { repeatRatio, repeatBase, repeatWindow } = this.bounds();
    const oldest = now - repeatWindow;
    dropExpired(this.requests, oldest);
    dropExpired(this.retries, oldest);
    const baseShare = sharers === 0 ? 0 : (BASE_UTILIZATION_RATIO * repeatBase) / sharers;
    const accruedRatio =
      INITIAL_BASE_RATIO +
      (1 - INITIAL_BASE_RATIO) * Math.min(1, (now - this.startedAt) / repeatWindow);
    const allowed =
      RATIO_UTILIZATION * repeatRatio * this.requests.length + baseShare * accruedRatio;
    const limit = purpose === 'hedge' ? HEDGE_BUDGET_RATIO * allowed : allowed;
    if (this.retries.length + 1 > limit) return false;
    this.retries.push({ at: now });
    return true;
  }
}
