import type { Instant, Millis } from '../../model';

/**
 * Bounds the time at which something arrived that an event loop reads now. A loop polls its sockets
 * once in each turn; what one poll brings arrived after the poll before it. Load pattern: a busy
 * host reads requests long after they arrived, and their time limits run from their arrival.
 */
export class PollTimes {
  /** The start of the latest poll that is complete, or a time before it. */
  private polledAt: Instant;

  constructor(now: Instant) {
    this.polledAt = now;
  }

  /** Takes in that all sockets have been polled since `since`; returns the time between the polls. */
  onPolled(since: Instant): Millis {
    const gap = Math.max(0, since - this.polledAt);
    this.polledAt = Math.max(this.polledAt, since);
    return gap;
  }

  /** Returns the earliest time at which something that is read now can have arrived. */
  get earliestArrival(): Instant {
    return this.polledAt;
  }
}
