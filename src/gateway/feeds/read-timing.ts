import type { Instant, Millis } from '../../model';

/** Delay in milliseconds after the first failed read; doubles with each further one in a row. */
const INITIAL_RETRY_DELAY_MS: Millis = 250;
/**
 * Maximum delay in milliseconds between failed reads; half of the time within which changes must be
 * known after the store has returned.
 */
const MAX_RETRY_DELAY_MS: Millis = 1000;
/**
 * Returns the delay before the next read after `failures` failed reads in a row (at least 1). It
 * grows because an overloaded store refuses all gateways, and a refusal costs it as much as an
 * answer.
 */
export const retryDelay = (failures: number): Millis =>
  Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (failures - 1));

/**
 * Times of the reads of a feed, and of failed reads of all feeds; -Infinity for one that has not
 * taken place.
 */
export interface ReadTiming {
  /** When the latest successful read ended. */
  readonly readAt: Instant;
  /** When the successful read before it ended; its items are younger than that. */
  readonly previousReadAt: Instant;
  /** When the latest failed read started. The store may have been reachable again since then. */
  readonly failedReadAt: Instant;
  /** When the store last answered again after failed reads. */
  readonly storeReturnedAt: Instant;
}
