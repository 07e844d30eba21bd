import type { Instant, Millis } from '../../model';

import type { BucketRate } from './terms';

/**
 * A token bucket as a series of slots, one per token, an interval apart (GCRA). A slot may be
 * granted ahead of its time and is then used no earlier. Slots that come back unused are granted
 * again at their own time. Between any two instants, slots number at most the capacity plus the time
 * over the interval. Load pattern: rates of thousands a second whose burst lasts for milliseconds,
 * so that hosts have to know of tokens before they accrue.
 */
export class SlotBucket {
  /** Slots that came back, in ascending order. */
  private freed: Instant[] = [];

  /** `next` is the first slot that has never been granted. */
  constructor(
    private currentRate: BucketRate,
    private next: Instant,
  ) {}

  get rate(): BucketRate {
    return this.currentRate;
  }

  /** Applies another quota and keeps the tokens held, up to the new capacity. */
  setRate(rate: BucketRate, now: Instant): void {
    const { interval, capacity } = this.currentRate;
    const held = Math.min(capacity - 1, (now - this.next) / interval);
    const ratio = rate.interval / interval;
    // A slot ahead of its time comes no sooner under a lower rate and is not put off further.
    this.next =
      held >= 0 ? now - held * rate.interval : now + (this.next - now) * Math.min(1, ratio);
    this.currentRate = rate;
  }

  /** Grants up to `count` slots that are due by `latest`, in ascending order. */
  grant(count: number, latest: Instant, now: Instant): readonly Instant[] {
    this.dropOverflow(now);
    const granted: Instant[] = [];
    while (granted.length < count && this.nextSlot <= latest) {
      const freed = this.freed[0] ?? Number.POSITIVE_INFINITY;
      if (freed <= this.next) {
        granted.push(freed);
        this.freed.shift();
      } else {
        granted.push(this.next);
        this.next += this.currentRate.interval;
      }
    }
    return granted;
  }

  /** Takes back slots whose tokens have not been used and never will be. */
  free(slots: readonly Instant[]): void {
    this.freed = [...this.freed, ...slots].sort((a, b) => a - b);
  }

  /** Returns the time until the next slot; 0 if one is due. */
  timeToNext(now: Instant): Millis {
    return Math.max(0, this.nextSlot - now);
  }

  /** Whether the bucket is as full as one that has not been used for a long time. */
  isFull(now: Instant): boolean {
    return this.next <= this.oldest(now);
  }

  private get nextSlot(): Instant {
    return Math.min(this.freed[0] ?? Number.POSITIVE_INFINITY, this.next);
  }

  /** Returns the earliest slot that the capacity still allows to grant. */
  private oldest(now: Instant): Instant {
    return now - (this.currentRate.capacity - 1) * this.currentRate.interval;
  }

  private dropOverflow(now: Instant): void {
    const oldest = this.oldest(now);
    this.next = Math.max(this.next, oldest);
    if ((this.freed[0] ?? oldest) < oldest) {
      this.freed = this.freed.filter((slot) => slot >= oldest);
    }
  }
}
