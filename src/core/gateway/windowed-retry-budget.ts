import type { GatewayBounds, Instant } from '../../model';

/** Part of the fleet's ratio that is spent; the rest covers windows that slide and late arrivals. */
const RATIO_UTILIZATION = 0.85;
/** Part of the fleet's fixed allowance that is spent. */
const BASE_UTILIZATION_RATIO = 0.7;
/** Part of it that a node has at its start; with what an earlier run spent, within the bound. */
const INITIAL_BASE_RATIO = 0.4;

/** The fleet's bound on repeats, which settings may change. */
export type RetryBounds = Pick<GatewayBounds, 'repeatRatio' | 'repeatBase' | 'repeatWindow'>;

interface TimedEntry {
  readonly at: Instant;
}

const dropExpired = (entries: TimedEntry[], oldest: Instant): void => {
  const keep = entries.findIndex(({ at }) => at > oldest);
  entries.splice(0, keep < 0 ? entries.length : keep);
};

/**
 * How many repeats one node may send to a service. Load pattern: a third of the upstreams fail and
 * every node repeats; the nodes' parts add up to less than the fleet's bound without agreement,
 * since the ratio is of each node's own requests and the fixed allowance is shared evenly.
 */
export class WindowedRetryBudget {
  private readonly requests: TimedEntry[] = [];

  private readonly retries: TimedEntry[] = [];

  /** `startedAt`: before it, an earlier run of this node may have spent its part. */
  constructor(
    private readonly bounds: () => RetryBounds,
    private readonly startedAt: Instant,
  ) {}

  recordRequest(now: Instant): void {
    this.requests.push({ at: now });
  }

  /**
   * Takes one repeat if there is one left. `sharers`: nodes that the fixed allowance is shared by,
   * with this one; 0 if it has no part in it.
   */
  take(sharers: number, now: Instant): boolean {
    const { repeatRatio, repeatBase, repeatWindow } = this.bounds();
    const oldest = now - repeatWindow;
    dropExpired(this.requests, oldest);
    dropExpired(this.retries, oldest);
    const ofBase = sharers === 0 ? 0 : (BASE_UTILIZATION_RATIO * repeatBase) / sharers;
    const accrued =
      INITIAL_BASE_RATIO +
      (1 - INITIAL_BASE_RATIO) * Math.min(1, (now - this.startedAt) / repeatWindow);
    const allowed = RATIO_UTILIZATION * repeatRatio * this.requests.length + ofBase * accrued;
    if (this.retries.length + 1 > allowed) return false;
    this.retries.push({ at: now });
    return true;
  }
}
