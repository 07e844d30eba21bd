import type { Instant, Millis } from '../../model';

/** Ratio of the grace period in which requests are still taken; the rest is left to end them. */
const TAKING_GRACE_RATIO = 0.5;
/** Time in milliseconds before the end of the grace period at which what is left is broken off. */
const END_MARGIN_MS: Millis = 300;
/** Time in milliseconds before the end of the grace period at which all connections are closed. */
const CLOSE_MARGIN_MS: Millis = 200;

/** When a planned stop does what. Instants of the clock that `askedAt` is of. */
export interface StopSchedule {
  /** Until then callers may not know of the stop, so that the process stays if any sent requests. */
  readonly lingersUntil: Instant;
  /** From then on requests are refused, as their answers might not be complete in time. */
  readonly refusesFrom: Instant;
  /** When requests in flight are broken off, and answered so. */
  readonly endsAt: Instant;
  /** When connections are closed, whether or not all answers are written. */
  readonly closesAt: Instant;
}

/**
 * Returns the schedule of a stop that was asked for at `askedAt`. `linger` is the time for which
 * callers may use an address that they got before, `grace` that after which the process is killed.
 * Load pattern: callers on kept connections send requests until the process is gone; one that is
 * taken shortly before the end is cut off while an upstream runs it.
 */
export const stopScheduleOf = (askedAt: Instant, linger: Millis, grace: Millis): StopSchedule => ({
  lingersUntil: askedAt + linger,
  refusesFrom: askedAt + Math.min(linger, TAKING_GRACE_RATIO * grace),
  endsAt: askedAt + grace - END_MARGIN_MS,
  closesAt: askedAt + grace - CLOSE_MARGIN_MS,
});
