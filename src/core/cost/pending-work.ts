import type { Instant, Millis } from '../../model';

import type { CostEstimate } from './class-stats';
import { expectedRemaining } from './remaining-time';

/** Time in milliseconds for which a sum of remaining times is used again. */
const REFRESH_INTERVAL_MS: Millis = 5;

/** A request in flight at an upstream, with what its cost is learned from at its end. */
export interface PendingRequest {
  readonly startedAt: Instant;
  readonly cost: CostEstimate;
  /** Expected time in the upstream's queue when it was sent; 0 if a slot was free. */
  readonly wait: Millis;
  /** Ratio of the slots that were taken with this request; more than 1 if it was queued. */
  readonly occupancy: number;
}

/** The work that one node's requests in flight still mean for an upstream. */
export class PendingWork {
  private readonly requests = new Map<string, PendingRequest>();

  private sum: Millis = 0;

  private summedAt: Instant = Number.NEGATIVE_INFINITY;

  get count(): number {
    return this.requests.size;
  }

  get(requestId: string): PendingRequest | undefined {
    return this.requests.get(requestId);
  }

  start(requestId: string, request: PendingRequest): void {
    this.requests.set(requestId, request);
    this.summedAt = Number.NEGATIVE_INFINITY;
  }

  end(requestId: string): void {
    if (this.requests.delete(requestId)) this.summedAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * Returns the expected remaining work in milliseconds at an upstream whose times have the ratio
   * `speed` to usual ones. Load pattern: costs with a long tail, where a request that has run for
   * long will probably run for long.
   */
  remaining(speed: number, now: Instant): Millis {
    if (now - this.summedAt < REFRESH_INTERVAL_MS) return this.sum;
    this.sum = 0;
    this.requests.forEach(({ startedAt, cost, wait }) => {
      this.sum += expectedRemaining(cost, (now - startedAt - wait) / speed) * speed;
    });
    this.summedAt = now;
    return this.sum;
  }
}
