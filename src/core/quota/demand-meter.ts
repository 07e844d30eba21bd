import type { Instant, Millis } from '../../model';

/** Time in milliseconds over which the requests of a workspace are counted. */
export const DEMAND_WINDOW_MS: Millis = 250;

/** Estimates the requests in the last quarter of a second from two counts. */
export class DemandMeter {
  private startedAt: Instant = Number.NEGATIVE_INFINITY;

  private current = 0;

  private previous = 0;

  /** Counts one request. */
  add(now: Instant): void {
    this.rotate(now);
    this.current += 1;
  }

  /** Returns the estimated number of requests in the window that ends now. */
  count(now: Instant): number {
    this.rotate(now);
    const left = 1 - (now - this.startedAt) / DEMAND_WINDOW_MS;
    return this.current + this.previous * left;
  }

  private rotate(now: Instant): void {
    const age = now - this.startedAt;
    if (age < DEMAND_WINDOW_MS) return;
    const isNext = age < 2 * DEMAND_WINDOW_MS;
    this.previous = isNext ? this.current : 0;
    this.current = 0;
    this.startedAt = isNext ? this.startedAt + DEMAND_WINDOW_MS : now;
  }
}
