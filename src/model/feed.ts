/** One record of a feed; the feed keeps the newest record of each key. */
export interface KeyedRecord {
  readonly key: string;
  /** The value's bytes; empty if the record removes the key. */
  readonly value: Buffer;
}

/**
 * A place in a feed: the era of the store's data and an offset in one number, so that any place of a
 * later era comes after all of the earlier ones. -1 stands for nothing read.
 */
export type FeedPosition = number;

/** Positions up to which a gateway has read the two feeds; -1 before the first read. */
export type FeedPositions = readonly [config: FeedPosition, upstreams: FeedPosition];

/** Number of offsets in an era; with `MAX_FEED_ERA` eras, positions are safe integers. */
const OFFSETS_PER_ERA = 2 ** 36;
/** The last era that positions can express. */
export const MAX_FEED_ERA = 2 ** 16;

/** Returns the place of an offset in an era; the store gives out offsets again in a later era. */
export const feedPositionOf = (era: number, offset: number): FeedPosition =>
  era * OFFSETS_PER_ERA + offset;

export const eraOf = (position: FeedPosition): number => Math.floor(position / OFFSETS_PER_ERA);

export const offsetOf = (position: FeedPosition): number => position % OFFSETS_PER_ERA;

/** The result of one read of a feed. */
export interface FeedPage<T> {
  /**
   * Whether the items are the whole state, so that whatever they lack has been removed. Otherwise
   * they are the changes since the position that was asked for.
   */
  readonly isSnapshot: boolean;
  readonly items: readonly T[];
  /** The position from which to continue. */
  readonly position: FeedPosition;
  /** Whether the store had further records when it answered. */
  readonly hasMore?: boolean;
}

/** A page and the position that its changes follow; 0 for a snapshot. */
export interface PositionedPage<T = KeyedRecord> extends FeedPage<T> {
  readonly from: FeedPosition;
}
