import type { FeedPosition, Millis, PositionedPage } from '../../model';
import type { Clock, Feed, Telemetry } from '../../ports';

import type { ReadTiming } from './read-timing';
import type { StoreContact } from './store-contact';

/** A read that the store has answered with all records that it had, and whose page is applied. */
export interface AppliedRead {
  readonly position: FeedPosition;
  readonly isEmpty: boolean;
}

/** What a follower reads, and how. */
export interface FollowerOptions<T> {
  /** The name of the feed in log lines and metrics. */
  readonly name: string;
  readonly feed: Feed<T>;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** What the reads of all feeds of the store have met. */
  readonly contact: StoreContact;
  /** Returns the time for which the next read waits at the store for new items. */
  longPoll(): Millis;
  /** Whether new items are rare, so that no later one soon tells that the store's era has changed. */
  readonly isQuiet: boolean;
  /** Returns the pause after new items, which batches several changes into one read. */
  batchPause(): Millis;
  /**
   * Returns the time within which what a peer has already read should arrive here; after it the
   * read, or the reader that passes pages on, is taken to hang.
   */
  peerGrace(): Millis;
  /** Called when the store's data are of a later era than before. */
  onEra(era: number): void;
  /** Receives each page that was read, without items that an earlier page had. */
  onPage(page: PositionedPage<T>, timing: ReadTiming): void;
  /** Called when the store answers again after failed reads. */
  onRegained?(): void;
  /** Whether failed reads are to be repeated soon, as much depends on contact with the store. */
  isUrgent?(): boolean;
  /**
   * Called when a read at the store starts; the result is called once its page is applied. Pages
   * of other gateways are no reads.
   */
  onReadStart?(wait: Millis): (read: AppliedRead) => void;
}
