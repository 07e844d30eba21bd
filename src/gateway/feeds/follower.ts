import { setTimeout as sleep } from 'node:timers/promises';

import { detached, reportBroken } from '../../adapters/guarded';
import {
  eraOf,
  offsetOf,
  type FeedPage,
  type FeedPosition,
  type Instant,
  type Millis,
  type PositionedPage,
} from '../../model';
import type { FeedFault } from '../../ports';

import type { FollowerOptions } from './follower-options';
import { retryDelay } from './read-timing';

/**
 * Time in milliseconds allowed for a read in addition to its wait; the store answers within a few
 * ms.
 */
const READ_TIMEOUT_MS: Millis = 800;
/**
 * For a feed whose contact is urgent: time allowed for a read after a failed one, and the
 * time from its start until the next. A store that doesn't answer and then does is seen within their
 * sum.
 */
const URGENT_READ_TIMEOUT_MS: Millis = 400;
const URGENT_RETRY_DELAY_MS: Millis = 250;
/** Number of failed reads in a row from which `readNow` leaves it to the next retry. */
const MAX_FAILURES_BEFORE_READ_NOW = 1;
/**
 * Follows a feed of the store by long-poll reads, or takes the pages that another gateway has read.
 * A read may hang on a connection that no longer delivers bytes; the positions that peers report
 * reveal this, and the follower then reads again.
 */
export class Follower<T> {
  /** Position to read on from; undefined when the whole feed has to be read. */
  private position: FeedPosition | undefined;

  /** The highest position read so far; a snapshot at a lower position is out of date. */
  private furthestPosition: FeedPosition = -1;

  private readAt: Instant = Number.NEGATIVE_INFINITY;

  /** Position reported by a peer that is ahead, while the follower waits to catch up with it. */
  private pendingPeerPosition: FeedPosition | undefined;

  /** Number of failed reads in a row. */
  private failures = 0;

  /** Whether the last page has left records to be read. */
  private hasBacklog = false;

  /** Whether the follower pauses between reads; the next read then brings all new items. */
  private isPausing = false;

  /** Whether another gateway passes the pages on. */
  private isRelayed = false;

  /** Continues the reads that stopped while another gateway passed the pages on. */
  private resume: (() => void) | undefined;

  private closed = false;

  constructor(private readonly options: FollowerOptions<T>) {}

  /** The highest position read so far; -1 before the first successful read. */
  get readPosition(): FeedPosition {
    return this.furthestPosition;
  }

  /** Whether the last read succeeded. */
  get isInContact(): boolean {
    return this.furthestPosition >= 0 && this.failures === 0;
  }

  /** Returns the milliseconds since the last successful read; -1 before the first. */
  age(now: Instant): Millis {
    return this.furthestPosition < 0 ? -1 : now - this.readAt;
  }

  /**
   * Reads the feed until the follower is closed. Load pattern: more records are written than a page
   * holds, most of which are replaced by later ones; the newest ones are read then, at once.
   */
  async follow(): Promise<void> {
    // The store may have come back from a copy while no read waited. A read that waits at an offset
    // of the copy gets no answer that tells it, so that the next one doesn't wait.
    let mayMissEra = false;
    while (!this.closed) {
      if (this.isRelayed) {
        await new Promise<void>((resolve) => {
          this.resume = resolve;
        });
        this.resume = undefined;
        mayMissEra = this.options.isQuiet;
      }
      const before = this.furthestPosition;
      const startedAt = this.options.clock.now();
      await this.read(this.failures > 0 || mayMissEra ? 0 : this.options.longPoll());
      mayMissEra = false;
      if (this.failures > 0) await this.pause(this.retryDelayFrom(startedAt));
      else if (this.hasBacklog) this.position = undefined;
      else if (this.furthestPosition > before) {
        await this.pause(this.options.batchPause());
        mayMissEra = this.options.isQuiet;
      }
    }
  }

  /** Reads at once, whether or not another read waits, unless failed reads are repeated anyway. */
  async readNow(): Promise<void> {
    const isRepeating = !this.isRelayed && this.failures > MAX_FAILURES_BEFORE_READ_NOW;
    if (!this.closed && !isRepeating) await this.read(0);
  }

  /** Stops the reads while another gateway passes the pages on; reads at once afterwards. */
  setRelayed(isRelayed: boolean): void {
    if (this.isRelayed === isRelayed) return;
    this.isRelayed = isRelayed;
    if (isRelayed || this.closed) return;
    if (this.resume) this.resume();
    else detached('follower', this.read(0));
  }

  /** Takes a page that another gateway has read; returns false if it leaves a gap. */
  onRelayedPage(page: PositionedPage<T>): boolean {
    if (!page.isSnapshot && page.from > this.furthestPosition) return false;
    if (page.position >= this.furthestPosition) this.onRead(page);
    return true;
  }

  /** Takes in how far a peer has read; reads at once if the own read seems to hang. */
  onPeerPosition(position: FeedPosition): void {
    if (position <= this.furthestPosition || this.pendingPeerPosition !== undefined) return;
    this.pendingPeerPosition = position;
    detached(
      'follower',
      sleep(this.options.peerGrace()).then(async () => {
        const isBehind = position > this.furthestPosition && !this.isPausing;
        if (!this.closed && isBehind) await this.read(0);
        this.pendingPeerPosition = undefined;
      }),
    );
  }

  /**
   * Takes in that another feed of the same store is of a later era. A read may wait at an offset
   * that exists again in that era, without an answer that tells it.
   */
  onEraOfOtherFeed(era: number): void {
    if (this.furthestPosition < 0 || era <= eraOf(this.furthestPosition)) return;
    this.position = undefined;
    if (!this.isPausing && !this.isRelayed && !this.closed) detached('follower', this.read(0));
  }

  close(): void {
    this.closed = true;
    this.resume?.();
  }

  private get isUrgent(): boolean {
    return this.options.isUrgent?.() ?? false;
  }

  /** Returns the delay before the next read after a failed one that started at `startedAt`. */
  private retryDelayFrom(startedAt: Instant): Millis {
    if (!this.isUrgent) return retryDelay(this.failures);
    return Math.max(0, startedAt + URGENT_RETRY_DELAY_MS - this.options.clock.now());
  }

  private async pause(millis: Millis): Promise<void> {
    this.isPausing = true;
    await sleep(millis);
    this.isPausing = false;
  }

  /** Reads once. An exception while a page is taken in counts as a failed read. */
  private async read(wait: Millis): Promise<void> {
    const startedAt = this.options.clock.now();
    try {
      await this.readFrom(wait, startedAt);
    } catch (error) {
      reportBroken(`follower ${this.options.name}`, error);
      this.onFault({ kind: 'malformed', detail: 'page could not be taken in' }, startedAt);
    }
  }

  private async readFrom(wait: Millis, startedAt: Instant): Promise<void> {
    const { feed } = this.options;
    const isUrgentRetry = this.failures > 0 && this.isUrgent;
    const deadline = startedAt + wait + (isUrgentRetry ? URGENT_READ_TIMEOUT_MS : READ_TIMEOUT_MS);
    const { position } = this;
    const onApplied = this.options.onReadStart?.(wait);
    const page =
      position === undefined
        ? await feed.readSnapshot(deadline)
        : await feed.readSince(position, wait, deadline);
    if (this.closed) return;
    const isGone = page.caseOf({
      Left: ({ kind }) => kind === 'position-gone',
      Right: () => false,
    });
    // Another read may have moved on while this one waited.
    if (isGone && position !== this.position) return;
    page.caseOf({
      Left: (fault) => this.onFault(fault, startedAt),
      Right: (read) => {
        const isApplied = this.onStoreRead(read, position ?? 0, startedAt);
        this.hasBacklog = isApplied && read.hasMore === true;
        if (!isApplied || this.hasBacklog) return;
        const isEmpty = !read.isSnapshot && read.items.length === 0;
        onApplied?.({ position: read.position, isEmpty });
      },
    });
    if (isGone && position !== undefined) await this.read(0);
  }

  /** Takes in a page of the store; returns whether it is applied. */
  private onStoreRead(page: FeedPage<T>, from: number, startedAt: Instant): boolean {
    if (page.isSnapshot && page.position < this.furthestPosition) {
      const detail = 'snapshot is older than the position already read';
      this.onFault({ kind: 'malformed', detail }, startedAt);
      return false;
    }
    const wasLost = this.failures > 0;
    this.onRead({ ...page, from });
    if (wasLost) this.options.onRegained?.();
    return true;
  }

  private onRead(page: PositionedPage<T>): void {
    const { name, clock, contact, telemetry } = this.options;
    const now = clock.now();
    const previousReadAt = this.readAt;
    this.readAt = now;
    if (this.failures > 0) {
      telemetry.event('feed-regained', { feed: name, failures: this.failures });
    }
    this.failures = 0;
    contact.onAnswer(now);
    if (page.position > this.furthestPosition) this.noteEra(page.position, now);
    // Two reads may overlap; only what is new goes on.
    const known = page.isSnapshot ? 0 : Math.max(0, this.furthestPosition - page.from);
    if (page.position >= this.furthestPosition) this.position = page.position;
    this.furthestPosition = Math.max(this.furthestPosition, page.position);
    this.options.onPage(
      { ...page, items: page.items.slice(known), from: page.from + known },
      {
        readAt: now,
        previousReadAt,
        failedReadAt: contact.failedReadAt,
        storeReturnedAt: contact.storeReturnedAt,
      },
    );
  }

  /**
   * Notes that the store has come back from a copy of its data. Like after an outage, entries that
   * the copy lacks may be written again.
   */
  private noteEra(position: FeedPosition, now: Instant): void {
    const era = eraOf(position);
    const before = eraOf(Math.max(0, this.furthestPosition));
    if (era === before) return;
    const { name, telemetry } = this.options;
    telemetry.event('feed-era-changed', {
      feed: name,
      era,
      before,
      offset: offsetOf(position),
      offsetBefore: offsetOf(Math.max(0, this.furthestPosition)),
    });
    this.options.onEra(era);
    if (this.furthestPosition >= 0) this.options.contact.onRestored(now);
  }

  private onFault(fault: FeedFault, startedAt: Instant): void {
    const { name, telemetry, clock } = this.options;
    telemetry.count('feed_faults', { feed: name, kind: fault.kind });
    switch (fault.kind) {
      case 'position-gone':
        this.position = undefined;
        telemetry.event('feed-history-lost', { feed: name, head: offsetOf(this.furthestPosition) });
        return;
      case 'refused':
      case 'unreachable':
      case 'incomplete':
      case 'malformed':
        this.failures += 1;
        // A store that begins an answer is up.
        if (fault.kind !== 'incomplete') this.options.contact.onFailure(startedAt);
        if (this.failures > 1) return;
        telemetry.event('feed-lost', {
          feed: name,
          kind: fault.kind,
          detail: fault.kind === 'refused' ? fault.status : fault.detail,
          ageMs: Math.round(this.age(clock.now())),
        });
    }
  }
}
