import type { Instant, WallTime } from '../model';

/** Reads the clocks of this process. */
export interface Clock {
  /** Returns the monotonic time, in which deadlines are stored. */
  now(): Instant;
  /** Returns the time since the Unix epoch, for values that leave the process. */
  wall(): WallTime;
}
