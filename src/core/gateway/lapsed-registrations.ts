import type { Instant, Millis } from '../../model';

/** Time in milliseconds after the store's recovery within which upstreams register again. */
const REREGISTRATION_TIMEOUT_MS: Millis = 2000;
/**
 * Time in milliseconds after the store's recovery within which a removal may be caused by the
 * outage. It covers the first read and a second one if the store has lost its change history.
 */
const STORE_RECOVERY_WINDOW_MS: Millis = 1000;
/** Time in milliseconds before the drain time ends that is kept for requests being sent. */
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
  /** Number of upstreams that the same read has added. */
  readonly joinedCount: number;
  /** Number of upstreams in service before the read. */
  readonly known: number;
  /** Time of the read. */
  readonly now: Instant;
  /** Time of the successful read before it; the removals happened later. -Infinity if none was. */
  readonly previousReadAt: Instant;
  /** Start of the last read that failed; -Infinity if the store always answered. */
  readonly failedReadAt: Instant;
  /** Time of the last successful read after a failed one; -Infinity if the store always answered. */
  readonly storeReturnedAt: Instant;
  /** Milliseconds within which a leaving upstream must stop getting new requests. */
  readonly drainTime: Millis;
  /** Milliseconds after an outage for which the drain time is not yet binding. */
  readonly stabilityWindow: Millis;
}

/**
 * Returns the time until which upstreams whose registration is gone stay in use; undefined if they
 * have left. Load pattern: the store recovers without most registrations, and the upstreams, all
 * healthy, register again one by one; removing them at once would refuse all requests meanwhile.
 * A host that was itself cut off from the store also finds departures; these are few, or other
 * upstreams have replaced them, and each must be out of use a drain time after the latest read that
 * still showed it.
 */
export const lapsedUntil = (batch: RemovalBatch): Instant | undefined => {
  const { count, joinedCount, known, now, drainTime } = batch;
  // The removals are younger than the previous read, which may be a pause ago.
  const isAfterReturn =
    now - batch.storeReturnedAt < STORE_RECOVERY_WINDOW_MS ||
    batch.previousReadAt <= batch.storeReturnedAt;
  const netCount = count - joinedCount;
  const isMany = netCount >= MASS_REMOVAL_MIN_COUNT && netCount >= MASS_REMOVAL_MIN_RATIO * known;
  if (!isAfterReturn && !isMany) return undefined;
  const bindingAt = Math.max(
    batch.previousReadAt + drainTime,
    batch.failedReadAt + batch.stabilityWindow,
  );
  const until = Math.min(now + REREGISTRATION_TIMEOUT_MS, bindingAt - DRAIN_MARGIN_MS);
  return until > now ? until : undefined;
};
