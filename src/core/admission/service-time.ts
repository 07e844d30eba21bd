import type { Instant, Millis } from '../../model';

const AVERAGE_GAIN = 1 / 32;

/**
 * How fast a shard's slots come free. The mean time that a slot is held follows from the slots
 * held between two releases (Little's law); mean and deviation of latency from whole answers.
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

  /** Slots held from now on. */
  setHeld(held: number, now: Instant): void {
    if (this.held === 0) this.lastReleaseAt = now;
    this.slotTime += this.held * (now - this.heldSince);
    this.held = held;
    this.heldSince = now;
  }

  /** A slot came free; `latency` is that of a whole answer, 0 when there was none. */
  recordRelease(latency: Millis, now: Instant): void {
    this.setHeld(this.held - 1, now);
    const mean = this.meanHeld ?? this.slotTime;
    this.meanHeld = mean + AVERAGE_GAIN * (this.slotTime - mean);
    this.slotTime = 0;
    this.lastReleaseAt = now;
    if (latency > 0) this.recordLatency(latency);
  }

  /** Latency that most whole answers stay within; 0 before the first. */
  get cautiousLatency(): Millis {
    return this.latency + this.deviation;
  }

  /** Expected time between two releases while all of `capacity` slots are held. */
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
