import type { Instant, Millis, WorkspaceName } from '../../model';

import { DEMAND_WINDOW_MS, DemandMeter } from './demand-meter';
import type { PartitionIndex } from './terms';

/** A token that this host may use. */
export interface LeasedToken {
  /** The request under which it was granted, and its place in the grant. */
  readonly seq: number;
  readonly index: number;
  readonly usableFrom: Instant;
  readonly expiresAt: Instant;
}

/** What this host knows of a partition of one workspace. */
export interface PartitionStock {
  /** Until this time its bucket is not asked. */
  readonly blockedUntil: Instant;
  /** Time from which it has a token again; undefined if it has not said that it is empty. */
  readonly nextAt: Instant | undefined;
}

/** A request that waits for a token. */
export interface WaitingRequest {
  readonly deadline: Instant;
  /** Receives the token; undefined if there is none in time. */
  settle(token: LeasedToken | undefined, now: Instant): void;
}

/** Requests in a window from which on tokens are asked for ahead of need. */
const MIN_PREFETCH_DEMAND = 2;
/**
 * Requests in a window from which on tokens are reserved that have not accrued yet, and from which
 * on for a whole lease. With fewer, 300 hosts that shared a workspace left a third of them unused.
 */
const MIN_RESERVING_DEMAND = 8;
const FULL_RESERVING_DEMAND = 20;
/** Time in milliseconds for which an empty partition keeps hosts from asking for more than they need. */
const SCARCITY_MS: Millis = 1000;
/** Share of the demand of a window that may be missing before tokens are asked for ahead. */
const PREFETCH_RATIO = 0.25;

/**
 * Share of a request's wait after which a token may become usable; the rest is for the messages, as
 * tokens that come too late for it would go unused.
 */
const WAIT_HORIZON_RATIO = 0.5;

/**
 * The tokens that this host has of one workspace and the requests that wait for some. Load pattern:
 * a workspace of hundreds of requests a second at one host beside thousands of workspaces of one
 * request now and then.
 */
export class TokenStock {
  readonly demand = new DemandMeter();

  /** In ascending order of the times from which they are usable. */
  private tokens: LeasedToken[] = [];

  private waiting: WaitingRequest[] = [];

  private readonly partitions = new Map<PartitionIndex, PartitionStock>();

  /**
   * Tokens expected from requests not yet answered, by the number of the request; none are expected
   * from one that has been repeated.
   */
  readonly asked = new Map<number, number>();

  /** Until this time the quota counts as used up, as a partition was empty. */
  private scarceUntil: Instant = Number.NEGATIVE_INFINITY;

  private usedAt: Instant = Number.NEGATIVE_INFINITY;

  constructor(readonly workspace: WorkspaceName) {}

  get tokenCount(): number {
    return this.tokens.length;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  partition(index: PartitionIndex): PartitionStock | undefined {
    return this.partitions.get(index);
  }

  /** Records what a partition has answered. */
  setPartition(index: PartitionIndex, state: PartitionStock): void {
    this.partitions.set(index, state);
    if (state.nextAt !== undefined) this.scarceUntil = state.nextAt + SCARCITY_MS;
  }

  /** Returns the earliest time at which a partition that is empty has a token again. */
  get nextAt(): Instant | undefined {
    const times = [...this.partitions.values()].flatMap(({ nextAt }) => nextAt ?? []);
    return times.length > 0 ? Math.min(...times) : undefined;
  }

  /** Forgets when empty partitions had tokens again, once that is past. */
  forgetPast(now: Instant): void {
    this.partitions.forEach(({ blockedUntil, nextAt }, index) => {
      if (blockedUntil <= now && (nextAt ?? now) <= now) this.partitions.delete(index);
    });
  }

  put(tokens: readonly LeasedToken[]): void {
    this.tokens = [...this.tokens, ...tokens].sort((a, b) => a.usableFrom - b.usableFrom);
  }

  wait(request: WaitingRequest): void {
    this.waiting.push(request);
  }

  /** Hands usable tokens to waiting requests. */
  serve(now: Instant): void {
    this.dropExpired(now);
    while (this.waiting.length > 0) {
      const [token] = this.tokens;
      if (!token || token.usableFrom > now) return;
      this.tokens.shift();
      this.usedAt = now;
      this.waiting.shift()?.settle(token, now);
    }
  }

  /** Refuses the requests that won't get a token in time. */
  refuse(now: Instant): void {
    const isAsked = this.asked.size > 0;
    const { waiting } = this;
    this.waiting = [];
    const refused = waiting.filter((request) => {
      const token = this.tokens[this.waiting.length];
      const hasHope = isAsked || (token && token.usableFrom <= request.deadline);
      if (!hasHope || request.deadline <= now) return true;
      this.waiting.push(request);
      return false;
    });
    refused.forEach((request) => request.settle(undefined, now));
  }

  /** Returns how many tokens this host should ask for beyond those that it has asked for. */
  missing(now: Instant): number {
    const asked = [...this.asked.values()].reduce((sum, count) => sum + count, 0);
    const inTime = Math.min(...this.waiting.map(({ deadline }) => deadline));
    const forWaiting = this.waiting.length - this.usableCount(inTime) - asked;
    const demand = Math.floor(this.demand.count(now));
    const isScarce = now < this.scarceUntil;
    if (demand < (isScarce ? MIN_RESERVING_DEMAND : MIN_PREFETCH_DEMAND))
      return Math.max(0, forWaiting);
    const soon = demand - this.usableCount(now + DEMAND_WINDOW_MS) - asked;
    // Tokens may come too late for the next window; more for the one after it would go unused.
    const ahead = Math.min(soon, 2 * demand - this.tokens.length - asked);
    if (forWaiting <= 0 && ahead < PREFETCH_RATIO * demand) return 0;
    return Math.max(0, forWaiting, ahead);
  }

  /** Whether this host asks for tokens that have not accrued, beyond those of waiting requests. */
  isReserving(now: Instant): boolean {
    return this.demand.count(now) >= MIN_RESERVING_DEMAND;
  }

  /** Returns the time from now until which tokens that are asked for may become usable. */
  horizon(now: Instant, lease: Millis): Millis {
    const latest = Math.max(now, ...this.waiting.map(({ deadline }) => deadline));
    const forWaiting = WAIT_HORIZON_RATIO * (latest - now);
    const steadiness =
      (this.demand.count(now) - MIN_RESERVING_DEMAND) /
      (FULL_RESERVING_DEMAND - MIN_RESERVING_DEMAND);
    return Math.floor(Math.min(lease, Math.max(forWaiting, steadiness * lease)));
  }

  /** Whether nothing is lost if this stock is forgotten. */
  isUnused(now: Instant): boolean {
    const isEmpty = this.tokens.length + this.waiting.length + this.asked.size === 0;
    return isEmpty && this.partitions.size === 0 && this.demand.count(now) === 0;
  }

  /** Removes and returns the tokens that nobody has used for a while. */
  takeIdle(now: Instant): readonly LeasedToken[] {
    this.dropExpired(now);
    const idleFrom = now - DEMAND_WINDOW_MS;
    if (this.usedAt > idleFrom || this.waiting.length > 0) return [];
    const idle = this.tokens.filter(({ usableFrom }) => usableFrom <= idleFrom);
    this.tokens = this.tokens.filter(({ usableFrom }) => usableFrom > idleFrom);
    return idle;
  }

  /** Removes and returns all tokens. */
  takeAll(): readonly LeasedToken[] {
    const all = this.tokens;
    this.tokens = [];
    return all;
  }

  /** Returns the time at which a waiting request gets a token or is refused; undefined if none waits. */
  get wakeAt(): Instant | undefined {
    if (this.waiting.length === 0) return undefined;
    const deadline = Math.min(...this.waiting.map((request) => request.deadline));
    return Math.min(deadline, this.tokens[0]?.usableFrom ?? deadline);
  }

  private usableCount(until: Instant): number {
    return this.tokens.filter(({ usableFrom }) => usableFrom <= until).length;
  }

  private dropExpired(now: Instant): void {
    if (this.tokens.some(({ expiresAt }) => expiresAt <= now)) {
      this.tokens = this.tokens.filter(({ expiresAt }) => expiresAt > now);
    }
  }
}
