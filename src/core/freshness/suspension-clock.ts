import type { Instant, Millis, WallTime } from '../../model';

/**
 * Lead in milliseconds of the wall clock that is not counted: the two clocks are read one after the
 * other, and the wall clock only in whole milliseconds.
 */
const TOLERANCE_MS: Millis = 20;

/**
 * A clock that advances by the greater of the monotonic and the wall-clock time between readings.
 * Load pattern: a host is suspended, for which time the monotonic clock stands still; or its wall
 * clock is set. A wall clock that is set back has no effect, one that is set forward makes whatever
 * was noted before look older than it is.
 */
export class SuspensionClock {
  /** The lowest lead of the wall clock since the lead was last counted. */
  private lowestLead = Infinity;

  /** The sum of the leads counted so far. */
  private counted: Millis = 0;

  /** Returns the time of this clock for a reading of both clocks; readings are taken in order. */
  read(now: Instant, wall: WallTime): Instant {
    const lead = wall - now;
    if (lead > this.lowestLead + TOLERANCE_MS) {
      this.counted += lead - this.lowestLead;
      this.lowestLead = lead;
    } else {
      this.lowestLead = Math.min(this.lowestLead, lead);
    }
    return now + this.counted;
  }
}
