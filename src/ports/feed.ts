import type { Either } from 'purify-ts';

import type { GatewayConfig, Instant, Millis } from '../model';

/** What was read of a feed. */
export interface FeedPage<T> {
  /** The items are all there are; what is missing is gone. Otherwise they are what was added. */
  readonly isSnapshot: boolean;
  readonly items: readonly T[];
  /** Where to read on. */
  readonly position: number;
}

/** Why a feed could not be read. */
export type FeedFault =
  /** What stood at the position has been deleted: read all anew. */
  | { readonly kind: 'position-gone' }
  /** The store has said no; nothing was done. */
  | { readonly kind: 'refused'; readonly status: number }
  /** No answer in time, or no connection. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** An answer that could not be decoded. */
  | { readonly kind: 'malformed'; readonly detail: string };

/** Something that is written elsewhere and read here, in order. */
export interface Feed<T> {
  /** All that holds now. */
  readNewest(deadline: Instant): Promise<Either<FeedFault, FeedPage<T>>>;
  /** What came after a position; waits for something up to `wait`. */
  readSince(
    position: number,
    wait: Millis,
    deadline: Instant,
  ): Promise<Either<FeedFault, FeedPage<T>>>;
}

/** One reading of the operators' configuration. */
export type ConfigFeedItem =
  | { readonly kind: 'config'; readonly config: GatewayConfig }
  | { readonly kind: 'unusable'; readonly detail: string };
