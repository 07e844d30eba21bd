import type { Instant, Millis } from '../../model';

/** Bounds on the processor time that some work takes. */
export interface TimeShareTerms {
  /** Share of the time that goes by that the work may take; above 0, at most 1. */
  readonly share: number;
  /** Processor time that the work may take at once after a rest. */
  readonly burst: Millis;
  /** Longest time that is counted for one piece of work, as the process may have been paused in it. */
  readonly maxCost: Millis;
}

/**
 * Says when the next piece of some work may run, so that all of it takes a share of the time. Its
 * state is one instant: the time at which what has run so far is paid for.
 */
export class TimeShare {
  private paidAt: Instant = Number.NEGATIVE_INFINITY;

  constructor(private readonly terms: TimeShareTerms) {}

  /** Returns when the next piece may run; not after `now` if it may run at once. */
  get dueAt(): Instant {
    const { burst, share } = this.terms;
    return this.paidAt - burst / share;
  }

  /** Counts a piece of work that has run from `startedAt` until `now`. */
  record(startedAt: Instant, now: Instant): void {
    const { share, maxCost } = this.terms;
    const cost = Math.min(Math.max(0, now - startedAt), maxCost);
    this.paidAt = Math.max(this.paidAt, startedAt) + cost / share;
  }
}
