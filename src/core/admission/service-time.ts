import type { Instant, Millis } from '../../model';

/** Weight of the newest sample, 0 to 1, in the moving averages. */
const AVERAGE_GAIN = 1 / 32;

/**
 * Estimates how fast a shard's slots become free. The mean time for which a slot is held follows
 * from the slots held between releases (Little's law). The mean and the deviation of the latency
 * come from complete answers.
 */
export class ServiceTime {
  private meanHeld: Millis | undefined;

  private latency: Millis = 0;

  private deviation: Millis = 0;

  /** Slot-milliseconds held since the last release. */
  private slotTime = 0;

  private held = 0;

  private heldSince: Instant = 0;

  private lastReleaseAt: Instant = 0;

  /** Records the number of slots held from `now` on. */
  setHeld(held: number, now: Instant): void {
    if (this.held === 0) this.lastReleaseAt = now;
    this.slotTime += this.held * (now - this.heldSince);
    this.held = held;
    this.heldSince = now;
  }

  /** Records a released slot; `latency` in milliseconds is 0 without a complete answer. */
  recordRelease(latency: Millis, now: Instant): void {
    this.setHeld(this.held - 1, now);
    const mean = this.meanHeld ?? this.slotTime;
    this.meanHeld = mean + AVERAGE_GAIN * (this.slotTime - mean);
    this.slotTime = 0;
    this.lastReleaseAt = now;
    if (latency > 0) this.recordLatency(latency);
  }

  /**
   * Latency in milliseconds, mean plus deviation, that most complete answers stay within; 0 at
   * first.
   */
  get cautiousLatency(): Millis {
    return this.latency + this.deviation;
  }

  /**
   * Returns the expected milliseconds between two releases while all `capacity` slots are held. If
   * the last release is longer ago than the cautious latency, the result is at least that time.
   */
  releaseInterval(capacity: number, now: Instant): Millis {
    const expected = (this.meanHeld ?? 0) / Math.max(1, capacity);
    const silent = this.held > 0 ? now - this.lastReleaseAt : 0;
    const stalled = this.latency > 0 && silent > this.cautiousLatency;
    return stalled ? Math.max(expected, silent) : expected;
  }

  private recordLatency(latency: Millis): void {
    if (this.latency === 0) {
      this.latency = latency;
      this.deviation = latency / 2;
      return;
    }
    const error = latency - this.latency;
    this.latency += AVERAGE_GAIN * error;
    this.deviation += AVERAGE_GAIN * (Math.abs(error) - this.deviation);
  }
}
