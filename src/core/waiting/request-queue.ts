import type { Instant, Millis, WorkspaceName } from '../../model';
import { FairQueue } from '../admission';

import { MinimumShares, type ShareGroups } from './minimum-shares';
import { ReturnTimes } from './return-times';
import { StartRate } from './start-rate';

/** A request in the queue of a service. */
export interface QueuedRequest extends ShareGroups {
  readonly arrivedAt: Instant;
  /**
   * Latest time at which it is still useful to start the request; past it, the request is removed.
   */
  readonly startBy: Instant;
}

/** The decision to queue a request or to refuse it; `retryAfter` is in milliseconds. */
export type QueueDecision =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfter: Millis };

/** The capacity of a service when a request would have to wait. */
export interface ServiceCapacity {
  /** Expected number of slots at healthy upstreams; it need not be whole. */
  readonly slots: number;
  /** Mean time in milliseconds that a request holds a slot. */
  readonly meanLatency: Millis;
}

/** Time constant in milliseconds of the exponential decay of the arrival rate. */
const ARRIVAL_DECAY_TIME_MS: Millis = 2000;
/** Lowest ratio of the freed slots assumed to be left for less urgent requests. */
const MIN_FREED_SLOT_RATIO = 0.02;

/**
 * Ratio of the expected wait: a request may wait if it would start in time after that wait. At 1 a
 * quarter of the refused requests of a long overload wait first, as the estimate varies.
 */
const SAFE_WAIT_RATIO = 1.2;
/** Ratio of the expected wait: a queued request is refused if even that wait makes it late. */
const CERTAIN_WAIT_RATIO = 0.75;

/** Stands for the workspace of requests without one. */
const NO_WORKSPACE: WorkspaceName = '';
/** Weight of every workspace in the order of the queue. */
const WORKSPACE_WEIGHT = 1;

const workspaceOf = ({ workspace }: ShareGroups): WorkspaceName => workspace ?? NO_WORKSPACE;

/**
 * Queues the requests that wait for a slot of one service: most urgent first, then fairly among
 * workspaces, then oldest first; priorities and workspaces below their minimum share go before all
 * others. Load pattern: more requests than slots for some seconds. A request that can't start in
 * time at the current rate is refused at once, so that the queued ones are served and none waits in
 * vain.
 */
export class RequestQueue<T extends QueuedRequest> {
  /** The queued requests by priority, the most urgent first. */
  private readonly queues = new Map<number, FairQueue<T, T>>();

  private urgencies: readonly number[] = [];

  /** Exponentially decayed number of requests that had to wait, as of `at`, by priority. */
  private readonly arrivals = new Map<number, { readonly count: number; readonly at: Instant }>();

  private readonly shares = new MinimumShares();

  private readonly startRate = new StartRate();

  private readonly returnTimes: ReturnTimes;

  /** `random` returns a number from 0 up to but excluding 1. */
  constructor(random: () => number = () => 0) {
    this.returnTimes = new ReturnTimes(random);
  }

  get length(): number {
    return this.sum(() => true);
  }

  /**
   * Returns the time in milliseconds until a request arriving now would start, if requests go on
   * being started at the measured rate and more urgent ones keep arriving at their current rate.
   */
  expectedWait(groups: ShareGroups, capacity: ServiceCapacity, now: Instant): Millis {
    const position = this.queues.get(groups.priority)?.length(workspaceOf(groups)) ?? 0;
    return this.waitAt(position, groups, capacity, now);
  }

  /** Decides whether a request may wait and counts it as arrived; it is not added to the queue. */
  admit(request: QueuedRequest, capacity: ServiceCapacity): QueueDecision {
    const { arrivedAt } = request;
    this.shares.recordArrival(request, arrivedAt);
    const wait = this.expectedWait(request, capacity, arrivedAt);
    this.recordArrival(request);
    if (arrivedAt + SAFE_WAIT_RATIO * wait <= request.startBy) return { kind: 'wait' };
    return { kind: 'refuse', retryAfter: this.retryAfter(request, capacity, arrivedAt) };
  }

  /** Returns the Retry-After in milliseconds of a request that is refused now. */
  retryAfter(groups: ShareGroups, capacity: ServiceCapacity, now: Instant): Millis {
    const wait = this.expectedWait(groups, capacity, now);
    const interval = 1 / this.leftPerMs(groups.priority, capacity, now);
    return this.returnTimes.next(groups.priority, wait, interval, now);
  }

  /** Records a request that started on arrival. */
  recordImmediateStart(request: QueuedRequest): void {
    this.shares.recordArrival(request, request.arrivedAt);
    this.recordStart(request, request.arrivedAt);
  }

  /** Records that a request which had to wait is sent. */
  recordStart(request: QueuedRequest, now: Instant): void {
    this.shares.recordStart(request, now);
    this.startRate.recordStart(now);
  }

  add(request: T): void {
    this.startRate.setWaiting(true, request.arrivedAt);
    this.queueOf(request.priority).add(request, ({ arrivedAt }) => request.arrivedAt < arrivedAt);
  }

  remove(request: T): void {
    this.queues.get(request.priority)?.remove(request);
  }

  /**
   * Removes and returns the next request in order that `accepts` allows; `recordStart` is called
   * for it if it is sent.
   */
  take(accepts: (request: T) => boolean): T | undefined {
    return this.takeOwed(accepts) ?? this.takeUrgent(accepts);
  }

  /** Returns the queued requests, most urgent first, then oldest first. */
  all(): readonly T[] {
    return this.urgencies.flatMap((priority) =>
      this.queued(priority).sort((a, b) => a.arrivedAt - b.arrivedAt),
    );
  }

  /** Removes and returns the requests that can no longer start in time. */
  removeExpired(now: Instant): readonly T[] {
    const late = this.all().filter(({ startBy }) => now > startBy);
    late.forEach((request) => this.remove(request));
    this.queues.forEach((queue) => queue.prune());
    this.startRate.setWaiting(this.length > 0, now);
    return late;
  }

  /**
   * Removes and returns the requests that are not expected to start in time any more, because more
   * urgent ones have come since or fewer requests are started than was expected.
   */
  removeHopeless(capacityOf: (request: T) => ServiceCapacity, now: Instant): readonly T[] {
    return this.urgencies.flatMap((priority) => {
      const queue = this.queues.get(priority);
      if (!queue) return [];
      // Starts from the end, as a removed request shortens only the waits behind it.
      return [...queue.positions()].reverse().flatMap(([request, position]) => {
        const wait = this.waitAt(position, request, capacityOf(request), now);
        if (now + CERTAIN_WAIT_RATIO * wait <= request.startBy) return [];
        queue.remove(request);
        return [request];
      });
    });
  }

  /** Returns the expected wait of a request at a position among those of its workspace. */
  private waitAt(
    position: number,
    groups: ShareGroups,
    capacity: ServiceCapacity,
    now: Instant,
  ): Millis {
    const { priority } = groups;
    if (this.isOwedAt(position, groups)) return 1 / this.startsPerMs(capacity, now);
    const startCount =
      this.queues.get(priority)?.startsUntil(workspaceOf(groups), WORKSPACE_WEIGHT, position) ?? 1;
    const ahead = this.sum((other) => other < priority);
    return (ahead + startCount) / this.leftPerMs(priority, capacity, now);
  }

  /** Returns the rate, per millisecond, at which this host is expected to start requests. */
  private startsPerMs({ slots, meanLatency }: ServiceCapacity, now: Instant): number {
    const latency = Math.max(1, meanLatency);
    return this.startRate.perMilli(Math.max(1, slots) / latency, latency, now);
  }

  /** Returns the part of that rate which more urgent requests leave. */
  private leftPerMs(priority: number, capacity: ServiceCapacity, now: Instant): number {
    const perMs = this.startsPerMs(capacity, now);
    return Math.max(MIN_FREED_SLOT_RATIO * perMs, perMs - this.urgentArrivalRate(priority, now));
  }

  private takeUrgent(accepts: (request: T) => boolean): T | undefined {
    for (const priority of this.urgencies) {
      const taken = this.queues.get(priority)?.take(accepts);
      if (taken) return taken;
    }
    return undefined;
  }

  /** Whether a request at a position is within the starts that one of its groups is owed. */
  private isOwedAt(position: number, { priority, workspace }: ShareGroups): boolean {
    if (position < this.shares.owedToPriority(priority)) return true;
    return workspace !== undefined && position < this.shares.owedToWorkspace(workspace);
  }

  /** Takes a request of a priority or workspace that is owed a start, most starts first. */
  private takeOwed(accepts: (request: T) => boolean): T | undefined {
    if (!this.shares.isInForce) return undefined;
    const owed = this.urgencies.flatMap((priority) => {
      const queue = this.queues.get(priority);
      if (!queue || queue.size === 0) return [];
      const workspaces = queue.queuedWorkspaces().map((workspace) => ({
        count: this.shares.owedToWorkspace(workspace),
        take: () => queue.takeFrom(workspace, accepts),
      }));
      const ofPriority = {
        count: this.shares.owedToPriority(priority),
        take: () => queue.take(accepts),
      };
      return [ofPriority, ...workspaces].filter(({ count }) => count > 0);
    });
    owed.sort((a, b) => b.count - a.count);
    for (const { take } of owed) {
      const taken = take();
      if (taken) return taken;
    }
    return undefined;
  }

  private queueOf(priority: number): FairQueue<T, T> {
    const known = this.queues.get(priority);
    if (known) return known;
    const queue = new FairQueue<T, T>((request) => ({
      id: request,
      workspace: workspaceOf(request),
      weight: WORKSPACE_WEIGHT,
    }));
    this.queues.set(priority, queue);
    this.urgencies = [...this.queues.keys()].sort((a, b) => a - b);
    return queue;
  }

  private queued(priority: number): T[] {
    return [...(this.queues.get(priority)?.positions() ?? [])].map(([request]) => request);
  }

  /** Returns the number of queued requests of the priorities that `includes` allows. */
  private sum(includes: (priority: number) => boolean): number {
    let count = 0;
    this.queues.forEach((queue, priority) => {
      if (includes(priority)) count += queue.size;
    });
    return count;
  }

  /** Returns the recent rate, per millisecond, of more urgent requests that had to wait. */
  private urgentArrivalRate(priority: number, now: Instant): number {
    let rate = 0;
    this.arrivals.forEach((arrivals, other) => {
      if (other < priority)
        rate += arrivals.count * Math.exp((arrivals.at - now) / ARRIVAL_DECAY_TIME_MS);
    });
    return rate / ARRIVAL_DECAY_TIME_MS;
  }

  private recordArrival({ priority, arrivedAt }: QueuedRequest): void {
    const { count, at } = this.arrivals.get(priority) ?? { count: 0, at: arrivedAt };
    const decayed = count * Math.exp((at - arrivedAt) / ARRIVAL_DECAY_TIME_MS);
    this.arrivals.set(priority, { count: decayed + 1, at: arrivedAt });
  }
}
