import type { GatewayBounds, Instant, Millis } from '../../model';

/**
 * Retries allowed for each retry that the bound grants in a window and in the one before it. Less
 * than half, as requests are counted somewhat later than callers send them.
 */
const CREDIT_UTILIZATION = 0.475;
/** Time in milliseconds from the grant of a retry to its arrival, in which windows may differ. */
const ARRIVAL_MARGIN_MS: Millis = 1000;
/** Ratio of a node's share of `repeatBase` that is credited as soon as it gets the share. */
const INITIAL_BASE_RATIO = 0.25;

/** Ratio of the budget up to which hedges may use it. */
const HEDGE_BUDGET_RATIO = 0.4;

/**
 * Time in milliseconds for which the retries of more urgent requests are provided for, beyond what
 * is earned meanwhile; upstreams that reject many requests do so for some seconds.
 */
const RESERVED_TIME_MS: Millis = 5000;
/**
 * Time constant in milliseconds of the exponential decay of the demand for retries; short, as the
 * budget of a whole window can be spent in two seconds.
 */
const DEMAND_DECAY_TIME_MS: Millis = 1000;
/** Length in milliseconds of the slots in which credits and retries are counted together. */
const SLOT_MS: Millis = 250;

/**
 * What a retry is for: `failed` follows an attempt without a usable answer, `hedge` joins one that
 * is slow and may still succeed.
 */
export type RetryPurpose = 'failed' | 'hedge';

/** Multiple of a route's mean latency after which an attempt is most likely lost. */
const LOST_LATENCY_RATIO = 5;

/**
 * Returns what a second attempt is for that joins one without an answer for `elapsed` milliseconds.
 * Load pattern: upstreams crash without closing their connections while the hedges' part of the
 * budget is spent; requests that can only time out come before those that are merely slow.
 */
export const purposeOfHedge = (elapsed: Millis, meanLatency: Millis): RetryPurpose =>
  elapsed >= LOST_LATENCY_RATIO * meanLatency ? 'failed' : 'hedge';

/** The bounds on retries of the whole fleet, which a change of settings may alter. */
export type RetryBounds = Pick<GatewayBounds, 'repeatRatio' | 'repeatBase' | 'repeatWindow'>;

/** What was left of a service's retry budget when a retry was asked for. */
export interface RetryStanding {
  /** Number of nodes that shared the fixed allowance; 0 if this one had no part of it. */
  readonly sharers: number;
  /** Retries that were left. */
  readonly left: number;
  /** Retries that the bound grants for this node's part of the window. */
  readonly credit: number;
}

const slotAt = (at: Instant): number => Math.floor(at / SLOT_MS);

/** Sums amounts in slots, and forgets the oldest ones. */
class SlotSums {
  private readonly amounts = new Map<number, number>();

  add(slot: number, amount: number): void {
    this.amounts.set(slot, this.in(slot) + amount);
  }

  in(slot: number): number {
    return this.amounts.get(slot) ?? 0;
  }

  /** Returns the sum from the slot `first` to the slot `last`. */
  between(first: number, last: number): number {
    let sum = 0;
    for (let slot = first; slot <= last; slot++) sum += this.in(slot);
    return sum;
  }

  forgetBefore(first: number): void {
    this.amounts.forEach((_, slot) => {
      if (slot < first) this.amounts.delete(slot);
    });
  }
}

/** Measures how many retries requests of each priority ask for, granted or not. */
class RetryDemand {
  /** Exponentially decayed number of retries asked for, as of `at`, by priority. */
  private readonly asked = new Map<number, { readonly count: number; readonly at: Instant }>();

  record(priority: number, now: Instant): void {
    this.asked.set(priority, { count: this.countAt(priority, now) + 1, at: now });
  }

  /** Returns the recent rate, per millisecond, of retries that more urgent requests ask for. */
  rateAbove(priority: number, now: Instant): number {
    let count = 0;
    this.asked.forEach((_, other) => {
      if (other < priority) count += this.countAt(other, now);
    });
    return count / DEMAND_DECAY_TIME_MS;
  }

  private countAt(priority: number, now: Instant): number {
    const { count, at } = this.asked.get(priority) ?? { count: 0, at: now };
    return count * Math.exp((at - now) / DEMAND_DECAY_TIME_MS);
  }
}

/**
 * Limits the retries that one node sends to a service, so that those of the whole fleet stay within
 * its bound in any window without coordination. What the bound grants is credited once: the ratio
 * at the node that gets the request, the fixed allowance evenly over time to the nodes that share
 * it. The retries since any moment of the last window are at most half of what has been credited
 * since then and in the window before it. The retries of a window are so at most half of the
 * credits of two windows in the sum over the nodes, wherever the requests go, and however often
 * nodes start anew without a memory. Load pattern: a third of the upstreams fail, every node
 * retries, and the requests move to nodes that have retried nothing.
 */
export class FleetRetryBudget {
  private readonly credits = new SlotSums();

  private readonly retries = new SlotSums();

  private readonly demand = new RetryDemand();

  /** This node's share of the fixed allowance, 0 to 1, as of `countedAt`. */
  private share = 0;

  private countedAt: Instant;

  /** When a new share was last credited at once. */
  private initialCreditAt: Instant = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly bounds: () => RetryBounds,
    /**
     * Returns the number of nodes, this one included, that share the fixed allowance; 0 if this
     * node has no share.
     */
    private readonly sharers: (now: Instant) => number,
    now: Instant,
    /** Whether retries of more urgent requests are provided for. */
    private readonly hasReserve = true,
  ) {
    this.countedAt = now;
  }

  /** Records a request that this node is the first to try to send. */
  recordRequest(now: Instant): void {
    this.creditShare(now);
    this.credits.add(slotAt(now), this.bounds().repeatRatio);
  }

  /** Takes a request back that is passed on to another node, which records it as its own. */
  withdrawRequest(now: Instant): void {
    this.credits.add(slotAt(now), -this.bounds().repeatRatio);
  }

  /**
   * Records a retry and returns true if the budget has one left. `priority` is that of the request;
   * 0 is the most urgent. Load patterns: upstreams turn slow and others fail at the same time;
   * hedges, most of which are not needed, would leave nothing for requests that fail without a
   * retry. All upstreams reject half of the requests for some seconds; less urgent requests would
   * spend the budget before more urgent ones have had their retries.
   */
  take(now: Instant, purpose: RetryPurpose = 'failed', priority = 0): boolean {
    this.creditShare(now);
    if (purpose === 'failed') this.demand.record(priority, now);
    if (!this.isLeft(purpose, priority, now)) return false;
    this.retries.add(slotAt(now), 1);
    return true;
  }

  /** Returns what is left of the budget, for the log. */
  standing(now: Instant): RetryStanding {
    this.creditShare(now);
    return { sharers: this.sharers(now), left: this.left(1, now), credit: this.credit(now) };
  }

  private isLeft(purpose: RetryPurpose, priority: number, now: Instant): boolean {
    switch (purpose) {
      case 'hedge':
        return this.left(HEDGE_BUDGET_RATIO, now) >= 1;
      case 'failed':
        return this.left(1, now) >= 1 + this.reserveFor(priority, now);
    }
  }

  /** Returns the retries that are left of a ratio of the budget. */
  private left(ratio: number, now: Instant): number {
    const { repeatWindow } = this.bounds();
    const last = slotAt(now);
    const windowSlots = Math.floor(repeatWindow / SLOT_MS);
    const first = last - Math.ceil((repeatWindow + ARRIVAL_MARGIN_MS) / SLOT_MS);
    let retries = 0;
    let credit = this.credits.between(last + 2 - windowSlots, last);
    let left = Number.POSITIVE_INFINITY;
    for (let slot = last; slot >= first; slot--) {
      retries += this.retries.in(slot);
      // A moment within the slot has the credits from the next slot of the window before it.
      credit += this.credits.in(slot + 1 - windowSlots);
      left = Math.min(left, ratio * CREDIT_UTILIZATION * credit - retries);
    }
    return left;
  }

  /** Returns the credit of the last window. */
  private credit(now: Instant): number {
    const last = slotAt(now);
    return this.credits.between(slotAt(now - this.bounds().repeatWindow) + 1, last);
  }

  /** Credits this node's share of the fixed allowance since the last time. */
  private creditShare(now: Instant): void {
    const { repeatBase, repeatWindow } = this.bounds();
    const sharers = this.sharers(now);
    const share = sharers === 0 ? 0 : 1 / sharers;
    const oldest = slotAt(now - 2 * repeatWindow - ARRIVAL_MARGIN_MS);
    const rate = (repeatBase * Math.min(this.share, share)) / repeatWindow;
    let from = Math.max(this.countedAt, oldest * SLOT_MS);
    while (from < now) {
      const to = Math.min(now, (slotAt(from) + 1) * SLOT_MS);
      this.credits.add(slotAt(from), rate * (to - from));
      from = to;
    }
    if (this.share === 0 && share > 0 && now - this.initialCreditAt >= repeatWindow) {
      this.initialCreditAt = now;
      this.credits.add(slotAt(now), INITIAL_BASE_RATIO * repeatBase * share);
    }
    if (slotAt(now) > slotAt(this.countedAt)) {
      this.credits.forgetBefore(oldest);
      this.retries.forgetBefore(oldest);
    }
    this.share = share;
    this.countedAt = now;
  }

  /** Returns the retries that one of a request of this priority has to leave to more urgent ones. */
  private reserveFor(priority: number, now: Instant): number {
    if (!this.hasReserve) return 0;
    const rate = this.demand.rateAbove(priority, now);
    const creditRate = (CREDIT_UTILIZATION * this.credit(now)) / this.bounds().repeatWindow;
    const shortfall = Math.max(0, rate - creditRate);
    return rate * DEMAND_DECAY_TIME_MS + shortfall * RESERVED_TIME_MS;
  }
}
