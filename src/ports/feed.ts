import type { Either } from 'purify-ts';

import type { FeedPage, FeedPosition, GatewayConfig, Instant, KeyedRecord, Millis } from '../model';

/** The reason why a feed could not be read. */
export type FeedFault =
  /**
   * The store no longer has the records at the position, or its data are of a later era; only a
   * snapshot can be read.
   */
  | { readonly kind: 'position-gone' }
  /** The store answered with an HTTP status that is no success. */
  | { readonly kind: 'refused'; readonly status: number }
  /** The store did not answer before the deadline, or no connection could be made. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The store began an answer that did not arrive whole, over a slow link for example. */
  | { readonly kind: 'incomplete'; readonly detail: string }
  /** The store's answer could not be decoded. */
  | { readonly kind: 'malformed'; readonly detail: string };

/**
 * An ordered sequence of changes that other processes write. A read ends at its deadline unless the
 * answer has begun and goes on.
 */
export interface Feed<T> {
  /** Reads the current state as a snapshot. */
  readSnapshot(deadline: Instant): Promise<Either<FeedFault, FeedPage<T>>>;
  /** Reads the changes from a position on; if there are none, waits for some for up to `wait`. */
  readSince(
    position: FeedPosition,
    wait: Millis,
    deadline: Instant,
  ): Promise<Either<FeedFault, FeedPage<T>>>;
}

/** Decodes one record into any number of items. */
export type RecordDecoder<T> = (record: KeyedRecord) => readonly T[];

/** A version of the operators' configuration, or the reason why it could not be decoded. */
export type ConfigFeedItem =
  | { readonly kind: 'config'; readonly config: GatewayConfig }
  | { readonly kind: 'unusable'; readonly detail: string };
