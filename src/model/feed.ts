/** One record of a feed; the feed keeps the newest record of each key. */
export interface KeyedRecord {
  readonly key: string;
  /** The value's bytes; empty if the record removes the key. */
  readonly value: Buffer;
}

/** The result of one read of a feed. */
export interface FeedPage<T> {
  /**
   * Whether the items are the whole state, so that whatever they lack has been removed. Otherwise
   * they are the changes since the position that was asked for.
   */
  readonly isSnapshot: boolean;
  readonly items: readonly T[];
  /** The position from which to continue. */
  readonly position: number;
}

/** A page and the position that its changes follow; 0 for a snapshot. */
export interface PositionedPage<T = KeyedRecord> extends FeedPage<T> {
  readonly from: number;
}
