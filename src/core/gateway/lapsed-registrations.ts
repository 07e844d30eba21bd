import type { Instant, Millis } from '../../model';

/** Upstreams register again within this time of the store's return; from the users' bounds. */
const REREGISTRATION_TIMEOUT_MS: Millis = 2000;
/**
 * Removals within this time of the store's return may be from its absence: what the first reading
 * brings, and one more after a lost history.
 */
const STORE_RECOVERY_WINDOW_MS: Millis = 1000;
/** Part of the time that a departure may take which is left for requests on their way. */
const DRAIN_MARGIN_MS: Millis = 300;
/** Removals read at once that can't be single departures: at least so many... */
const MASS_REMOVAL_MIN_COUNT = 3;
/** ...and this share of all upstreams; planned replacements take away fewer at a time. */
const MASS_REMOVAL_MIN_RATIO = 0.3;

/** Removals that one reading of the store brings, and when. */
export interface RemovalBatch {
  /** Upstreams that were in service and had not said that they leave. */
  readonly count: number;
  /** Upstreams in service before the reading. */
  readonly known: number;
  readonly now: Instant;
  /** When the store last answered again after it did not; -Infinity if it always did. */
  readonly storeReturnedAt: Instant;
  /** The time in which a leaving upstream must stop getting new work. */
  readonly drainTime: Millis;
}

/**
 * Until when upstreams whose registration is gone stay in use; undefined if they have left. Load
 * pattern: the store comes back without most registrations, and the upstreams, all well, register
 * again one by one; to take them for gone would refuse all requests meanwhile.
 */
export const lapsedUntil = ({
  count,
  known,
  now,
  storeReturnedAt,
  drainTime,
}: RemovalBatch): Instant | undefined => {
  const isAfterReturn = now - storeReturnedAt < STORE_RECOVERY_WINDOW_MS;
  const isMany = count >= MASS_REMOVAL_MIN_COUNT && count >= MASS_REMOVAL_MIN_RATIO * known;
  if (!isAfterReturn && !isMany) return undefined;
  return now + Math.min(REREGISTRATION_TIMEOUT_MS, drainTime - DRAIN_MARGIN_MS);
};
