import type { TokenDecision } from '../../src/core/quota';
import type { GatewayBounds, Instant, Millis, WorkspaceQuota } from '../../src/model';

type QuotaBounds = Pick<GatewayBounds, 'quotaWindow' | 'quotaExcessRatio' | 'quotaExcessCount'>;

/** What became of a workspace's requests. */
export class QuotaTally {
  /** When requests ran, in ascending order. */
  readonly runs: Instant[] = [];

  /** When requests were refused at hosts that were not cut off. */
  readonly refusals: Instant[] = [];

  offered = 0;

  /** Refusals at hosts that were cut off from their peers. */
  cutOffRefusals = 0;

  exceeded = 0;

  unavailable = 0;

  /** Longest time from a request to its decision. */
  longestWait: Millis = 0;

  /** Records a decision on a request of `askedAt`. */
  record(decision: TokenDecision, askedAt: Instant, now: Instant, isCutOff: boolean): void {
    this.offered += 1;
    this.longestWait = Math.max(this.longestWait, now - askedAt);
    switch (decision.kind) {
      case 'granted':
        this.runs.push(now);
        return;
      case 'exceeded':
        this.exceeded += 1;
        break;
      case 'unavailable':
        this.unavailable += 1;
    }
    if (isCutOff) this.cutOffRefusals += 1;
    else this.refusals.push(now);
  }

  /** Returns the largest number of runs in any window over what the bound allows in it. */
  boundRatio(quota: WorkspaceQuota, bounds: QuotaBounds, from: Instant = 0): number {
    const { quotaWindow, quotaExcessRatio, quotaExcessCount } = bounds;
    const usual = (quota.rate * quotaWindow) / 1000 + quota.burst;
    return (
      this.largestWindow(quotaWindow, from) / (usual * (1 + quotaExcessRatio) + quotaExcessCount)
    );
  }

  /** Returns the largest number of runs in any window. */
  largestWindow(window: Millis, from: Instant = 0): number {
    const runs = this.runs.filter((at) => at >= from);
    let first = 0;
    let largest = 0;
    runs.forEach((at, i) => {
      while ((runs[first] ?? at) < at - window) first += 1;
      largest = Math.max(largest, i - first + 1);
    });
    return largest;
  }

  /** Number of requests that ran from one time to another. */
  runsBetween(from: Instant, to: Instant): number {
    return this.runs.filter((at) => at >= from && at < to).length;
  }
}
