import type { Instant, Millis } from '../../model';

/** Time in milliseconds after the store's recovery within which upstreams register again. */
const REREGISTRATION_TIMEOUT_MS: Millis = 2000;
/**
 * Time in milliseconds after the store's recovery within which a removal may be caused by the
 * outage. It covers the first read and a second one if the store has lost its change history.
 */
const STORE_RECOVERY_WINDOW_MS: Millis = 1000;
/** Time in milliseconds of the drain time that is kept for requests in flight. */
const DRAIN_MARGIN_MS: Millis = 300;
/**
 * Number of removals in one read from which they can't be single departures, if the ratio below is
 * met too.
 */
const MASS_REMOVAL_MIN_COUNT = 3;
/**
 * Ratio of removals to all upstreams from which they can't be single departures; planned
 * replacements remove fewer at a time.
 */
const MASS_REMOVAL_MIN_RATIO = 0.3;

/** The removals found by one read of the store. */
export interface RemovalBatch {
  /** Number of removed upstreams that were ready and had not announced that they leave. */
  readonly count: number;
  /** Number of upstreams in service before the read. */
  readonly known: number;
  /** Time of the read. */
  readonly now: Instant;
  /** Time of the store's last recovery from an outage; -Infinity if it always answered. */
  readonly storeReturnedAt: Instant;
  /** Milliseconds within which a leaving upstream must stop getting new requests. */
  readonly drainTime: Millis;
}

/**
 * Returns the time until which upstreams whose registration is gone stay in use; undefined if they
 * have left. Load pattern: the store recovers without most registrations, and the upstreams, all
 * healthy, register again one by one; removing them at once would refuse all requests meanwhile.
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
