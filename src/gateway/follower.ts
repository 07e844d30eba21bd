import { setTimeout as sleep } from 'node:timers/promises';

import type { Instant, Millis } from '../model';
import type { Clock, Feed, FeedFault, FeedPage, Telemetry } from '../ports';

/**
 * Bounds in milliseconds of the time that a long-poll read waits at the store for new items. A hung
 * read is detected only after this wait. The wait is drawn at random for each read, so that of many
 * gateways with hung reads one detects it early and its peers learn of the new position from it.
 */
const MIN_LONG_POLL_MS: Millis = 3000;
const MAX_LONG_POLL_MS: Millis = 28_000;
/**
 * Time in milliseconds allowed for a read in addition to its wait; the store answers within a few
 * ms.
 */
const READ_TIMEOUT_MS: Millis = 800;
/** Delay in milliseconds after the first failed read; doubles with each further one in a row. */
const INITIAL_RETRY_DELAY_MS: Millis = 250;
/**
 * Maximum delay in milliseconds between failed reads; half of the time within which changes must be
 * known after the store has returned.
 */
const MAX_RETRY_DELAY_MS: Millis = 1000;
/**
 * Time in milliseconds in which the waiting read should bring what a peer has already read; after
 * it the read is taken to hang.
 */
const PEER_GRACE_MS: Millis = 300;

/**
 * Returns the delay before the next read after `failures` failed reads in a row (at least 1). It
 * grows because an overloaded store refuses all gateways, and a refusal costs it as much as an
 * answer.
 */
export const retryDelay = (failures: number): Millis =>
  Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (failures - 1));

/** Times of the reads of a feed; -Infinity for one that has not taken place. */
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

const NO_READS: ReadTiming = {
  readAt: Number.NEGATIVE_INFINITY,
  previousReadAt: Number.NEGATIVE_INFINITY,
  failedReadAt: Number.NEGATIVE_INFINITY,
  storeReturnedAt: Number.NEGATIVE_INFINITY,
};

/**
 * Follows a feed of the store by long-poll reads. A read may hang on a connection that no longer
 * delivers bytes; the positions that peers report reveal this, and the follower then reads again.
 */
export class Follower<T> {
  /** Position to read on from; undefined when the whole feed has to be read. */
  private position: number | undefined;

  /** The highest position read so far; a snapshot at a lower position is out of date. */
  private furthestPosition = -1;

  private timing = NO_READS;

  /** Position reported by a peer that is ahead, while the follower waits to catch up with it. */
  private pendingPeerPosition: number | undefined;

  /** Number of failed reads in a row. */
  private failures = 0;

  /** Whether the follower pauses between reads; the next read then brings all new items. */
  private isPausing = false;

  private closed = false;

  constructor(
    private readonly name: string,
    private readonly feed: Feed<T>,
    private readonly clock: Clock,
    private readonly telemetry: Telemetry,
    private readonly random: () => number,
    /** Returns the pause after new items, which batches several changes into one read. */
    private readonly batchPause: () => Millis,
    /** Receives each page that was read. */
    private readonly onPage: (page: FeedPage<T>, timing: ReadTiming) => void,
  ) {}

  /** The highest position read so far; -1 before the first successful read. */
  get readPosition(): number {
    return this.furthestPosition;
  }

  /** Returns the milliseconds since the last successful read; -1 before the first. */
  age(now: Instant): Millis {
    return this.furthestPosition < 0 ? -1 : now - this.timing.readAt;
  }

  /** Reads the feed until the follower is closed. */
  async follow(): Promise<void> {
    while (!this.closed) {
      const before = this.furthestPosition;
      await this.read(MIN_LONG_POLL_MS + this.random() * (MAX_LONG_POLL_MS - MIN_LONG_POLL_MS));
      if (this.failures > 0) await this.pause(retryDelay(this.failures));
      else if (this.furthestPosition > before) await this.pause(this.batchPause());
    }
  }

  /** Takes in how far a peer has read; reads at once if the own read seems to hang. */
  onPeerPosition(position: number): void {
    if (position <= this.furthestPosition || this.pendingPeerPosition !== undefined) return;
    this.pendingPeerPosition = position;
    void sleep(PEER_GRACE_MS).then(async () => {
      const isBehind = position > this.furthestPosition && !this.isPausing;
      if (!this.closed && isBehind) await this.read(0);
      this.pendingPeerPosition = undefined;
    });
  }

  close(): void {
    this.closed = true;
  }

  private async pause(millis: Millis): Promise<void> {
    this.isPausing = true;
    await sleep(millis);
    this.isPausing = false;
  }

  private async read(wait: Millis): Promise<void> {
    const startedAt = this.clock.now();
    const deadline = startedAt + wait + READ_TIMEOUT_MS;
    const { position } = this;
    const page =
      position === undefined
        ? await this.feed.readSnapshot(deadline)
        : await this.feed.readSince(position, wait, deadline);
    if (this.closed) return;
    page.caseOf({
      Left: (fault) => this.onFault(fault, startedAt),
      Right: (read) => this.onRead(read, startedAt),
    });
  }

  private onRead(page: FeedPage<T>, startedAt: Instant): void {
    if (page.isSnapshot && page.position < this.furthestPosition) {
      const detail = 'snapshot is older than the position already read';
      this.onFault({ kind: 'malformed', detail }, startedAt);
      return;
    }
    const now = this.clock.now();
    this.timing = { ...this.timing, readAt: now, previousReadAt: this.timing.readAt };
    if (this.failures > 0) {
      this.telemetry.event('feed-regained', { feed: this.name, failures: this.failures });
      this.timing = { ...this.timing, storeReturnedAt: now };
    }
    this.failures = 0;
    // Two reads may overlap; the one with the higher position counts.
    if (page.position >= this.furthestPosition) this.position = page.position;
    this.furthestPosition = Math.max(this.furthestPosition, page.position);
    this.onPage(page, this.timing);
  }

  private onFault(fault: FeedFault, startedAt: Instant): void {
    this.telemetry.count('feed_faults', { feed: this.name, kind: fault.kind });
    switch (fault.kind) {
      case 'position-gone':
        this.position = undefined;
        this.telemetry.event('feed-history-lost', { feed: this.name, head: this.furthestPosition });
        return;
      case 'refused':
      case 'unreachable':
      case 'malformed':
        this.failures += 1;
        this.timing = { ...this.timing, failedReadAt: startedAt };
        if (this.failures > 1) return;
        this.telemetry.event('feed-lost', {
          feed: this.name,
          kind: fault.kind,
          detail: fault.kind === 'refused' ? fault.status : fault.detail,
          ageMs: Math.round(this.age(this.clock.now())),
        });
    }
  }
}
