import type { Instant } from '../../model';

/**
 * When the store failed and when it answered again, in the reads of all feeds. One read may wait
 * through an outage that those of another feed meet.
 */
export class StoreContact {
  private isLost = false;

  private lostAt: Instant = Number.NEGATIVE_INFINITY;

  private regainedAt: Instant = Number.NEGATIVE_INFINITY;

  /** When the latest failed read started; -Infinity if none has failed. */
  get failedReadAt(): Instant {
    return this.lostAt;
  }

  /** When the store last answered again after failed reads; -Infinity if none has failed. */
  get storeReturnedAt(): Instant {
    return this.regainedAt;
  }

  /** Takes in that the store gave no answer to a read. */
  onFailure(startedAt: Instant): void {
    this.isLost = true;
    this.lostAt = startedAt;
  }

  onAnswer(now: Instant): void {
    if (!this.isLost) return;
    this.isLost = false;
    this.regainedAt = now;
  }

  /** Takes in that the store has come back from a copy of its data, as after an outage. */
  onRestored(now: Instant): void {
    this.isLost = false;
    this.lostAt = now;
    this.regainedAt = now;
  }
}
