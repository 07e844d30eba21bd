import type { Instant, Millis } from '../../model';

/** Time constant in milliseconds of the exponential decay of the arrival rate. */
const ARRIVAL_DECAY_TIME_MS: Millis = 2000;

/** Measures how many requests of each priority arrive that have to wait. */
export class ArrivalRates {
  /** Exponentially decayed number of requests, as of `at`, by priority. */
  private readonly arrivals = new Map<number, { readonly count: number; readonly at: Instant }>();

  record(priority: number, now: Instant): void {
    this.arrivals.set(priority, { count: this.countAt(priority, now) + 1, at: now });
  }

  /** Returns the recent rate, per millisecond, of more urgent requests. */
  perMilliAbove(priority: number, now: Instant): number {
    let count = 0;
    this.arrivals.forEach((_, other) => {
      if (other < priority) count += this.countAt(other, now);
    });
    return count / ARRIVAL_DECAY_TIME_MS;
  }

  private countAt(priority: number, now: Instant): number {
    const { count, at } = this.arrivals.get(priority) ?? { count: 0, at: now };
    return count * Math.exp((at - now) / ARRIVAL_DECAY_TIME_MS);
  }
}
