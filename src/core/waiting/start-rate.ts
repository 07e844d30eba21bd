import type { Instant, Millis } from '../../model';

/** Time constant in milliseconds of the exponential decay of the measurement. */
const MEASUREMENT_DECAY_TIME_MS: Millis = 2000;
/** Number of mean latencies of measuring after which the rate is bounded by it. */
const MIN_MEASURED_LATENCY_COUNT = 1.5;
/**
 * Bound of the starts that a count of n leaves likely: n + sqrt(n) + 2, as no start in a time is
 * likely up to three expected ones.
 */
const likelyMaxCount = (count: number): number => count + Math.sqrt(count) + 2;

/**
 * Measures how many requests a host starts in the time in which others wait. Load pattern: many
 * hosts send to the same upstreams, and each gets only a part of the slots that become free; an
 * estimate from the slots alone lets requests wait that can't start in time.
 */
export class StartRate {
  /** Exponentially decayed number of starts and milliseconds while requests waited. */
  private starts = 0;

  private waitingTime: Millis = 0;

  private isWaiting = false;

  private measuredAt: Instant = 0;

  /** Records whether requests wait from `now` on. */
  setWaiting(isWaiting: boolean, now: Instant): void {
    this.advance(now);
    this.isWaiting = isWaiting;
  }

  recordStart(now: Instant): void {
    this.advance(now);
    if (this.isWaiting) this.starts += 1;
  }

  /**
   * Returns the starts per millisecond. Without a measurement it is `expected`, the rate that
   * follows from all slots of the service and their mean latency in milliseconds; that counts as
   * much as one mean latency of measuring, as starts come in bursts.
   */
  perMilli(expected: number, meanLatency: Millis, now: Instant): number {
    this.advance(now);
    const measuredRatio = Math.min(1, this.waitingTime / MEASUREMENT_DECAY_TIME_MS);
    const expectedTime = Math.max(1, (1 - measuredRatio) * meanLatency);
    const rate = (this.starts + expected * expectedTime) / (this.waitingTime + expectedTime);
    if (this.waitingTime < MIN_MEASURED_LATENCY_COUNT * meanLatency) return rate;
    return Math.min(rate, likelyMaxCount(this.starts) / this.waitingTime);
  }

  private advance(now: Instant): void {
    const elapsed = Math.max(0, now - this.measuredAt);
    const factor = Math.exp(-elapsed / MEASUREMENT_DECAY_TIME_MS);
    this.starts *= factor;
    this.waitingTime *= factor;
    if (this.isWaiting) this.waitingTime += MEASUREMENT_DECAY_TIME_MS * (1 - factor);
    this.measuredAt = Math.max(this.measuredAt, now);
  }
}
