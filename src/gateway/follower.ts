import { setTimeout as sleep } from 'node:timers/promises';

import type { Instant, Millis } from '../model';
import type { Clock, Feed, FeedFault, FeedPage, Telemetry } from '../ports';

/**
 * How long a read waits at the store for something new; a hung one is noticed after it. Drawn anew
 * each time, so that of many gateways with hung reads one notices soon and tells the others.
 */
const SHORTEST_WAIT: Millis = 3000;
const LONGEST_WAIT: Millis = 28_000;
/** Time allowed for one read beside the wait; the store answers in milliseconds. */
const READ_TIME: Millis = 800;
/** Pause after the first read that failed; doubled with each further one. */
const FIRST_RETRY: Millis = 250;
/** The longest pause; half of the time in which news has to be known after the store's return. */
const LONGEST_RETRY: Millis = 1000;
/** Time for the own waiting read to bring what a peer has already read; then it is taken to hang. */
const PEER_LEAD: Millis = 300;

/**
 * Pause after so many reads in a row that failed. Load pattern: the store turns all gateways away,
 * and each refusal costs as much as an answer.
 */
export const retryPause = (failures: number): Millis =>
  Math.min(LONGEST_RETRY, FIRST_RETRY * 2 ** (failures - 1));

/**
 * Follows a feed of the store by reads that wait there for something new. A read may hang on a
 * connection that has gone silent; peers make up for that, as they say how far they have read.
 */
export class Follower<T> {
  /** Where to read on; undefined when all has to be read. */
  private position: number | undefined;

  /** The furthest position so far; a whole reading from before it is out of date. */
  private furthest = -1;

  /** When the last reading that succeeded ended. */
  private readAt: Instant = Number.NEGATIVE_INFINITY;

  /** When the store last answered again after it did not; -Infinity if it always did. */
  regainedAt: Instant = Number.NEGATIVE_INFINITY;

  private hinted: number | undefined;

  /** Reads in a row that failed. */
  private failures = 0;

  /** Between reads; the next one brings all that there is. */
  private isPausing = false;

  private closed = false;

  constructor(
    private readonly name: string,
    private readonly feed: Feed<T>,
    private readonly clock: Clock,
    private readonly telemetry: Telemetry,
    private readonly random: () => number,
    /** Pause after something new, so that a run of changes costs few reads. */
    private readonly gather: () => Millis,
    private readonly onPage: (page: FeedPage<T>) => void,
  ) {}

  /** How far the feed has been read; -1 before the first reading. */
  get head(): number {
    return this.furthest;
  }

  /** Milliseconds since the last good reading; -1 before the first. */
  age(now: Instant): Millis {
    return this.furthest < 0 ? -1 : now - this.readAt;
  }

  /** Reads until closed. */
  async follow(): Promise<void> {
    while (!this.closed) {
      const before = this.furthest;
      await this.read(SHORTEST_WAIT + this.random() * (LONGEST_WAIT - SHORTEST_WAIT));
      if (this.failures > 0) await this.pause(retryPause(this.failures));
      else if (this.furthest > before) await this.pause(this.gather());
    }
  }

  /** Takes a peer's word that the feed goes further. */
  hint(head: number): void {
    if (head <= this.furthest || this.hinted !== undefined) return;
    this.hinted = head;
    void sleep(PEER_LEAD).then(async () => {
      const isBehind = head > this.furthest && !this.isPausing;
      if (!this.closed && isBehind) await this.read(0);
      this.hinted = undefined;
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
    const deadline = this.clock.now() + wait + READ_TIME;
    const { position } = this;
    const page =
      position === undefined
        ? await this.feed.readSnapshot(deadline)
        : await this.feed.readSince(position, wait, deadline);
    if (this.closed) return;
    page.caseOf({
      Left: (fault) => this.onFault(fault),
      Right: (read) => this.onRead(read),
    });
  }

  private onRead(page: FeedPage<T>): void {
    if (page.isSnapshot && page.position < this.furthest) {
      this.onFault({ kind: 'malformed', detail: 'a reading from before the last one' });
      return;
    }
    this.readAt = this.clock.now();
    if (this.failures > 0) {
      this.telemetry.event('feed-regained', { feed: this.name, failures: this.failures });
      this.regainedAt = this.readAt;
    }
    this.failures = 0;
    // Two reads may overlap; the one that got further counts.
    if (page.position >= this.furthest) this.position = page.position;
    this.furthest = Math.max(this.furthest, page.position);
    this.onPage(page);
  }

  private onFault(fault: FeedFault): void {
    this.telemetry.count('feed_faults', { feed: this.name, kind: fault.kind });
    switch (fault.kind) {
      case 'position-gone':
        this.position = undefined;
        this.telemetry.event('feed-history-lost', { feed: this.name, head: this.furthest });
        return;
      case 'refused':
      case 'unreachable':
      case 'malformed':
        this.failures += 1;
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
