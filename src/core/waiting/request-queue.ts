import type { Instant, Millis, WorkspaceName } from '../../model';
import { FairQueue } from '../admission';

import { MinimumShares, type ShareGroups } from './minimum-shares';

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

/** Shortest time in milliseconds after which a refused caller is told to retry. */
const MIN_RETRY_AFTER_MS: Millis = 100;

/** Time constant in milliseconds of the exponential decay of the arrival rate. */
const ARRIVAL_DECAY_TIME_MS: Millis = 2000;
/** Lowest ratio of the freed slots assumed to be left for less urgent requests. */
const MIN_FREED_SLOT_RATIO = 0.02;

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

  get length(): number {
    return this.sum(() => true);
  }

  /**
   * Returns the time in milliseconds until a request arriving now would start, if slots are freed
   * at the mean rate and more urgent requests keep arriving at their current rate.
   */
  expectedWait(groups: ShareGroups, capacity: ServiceCapacity, now: Instant): Millis {
    const { priority } = groups;
    const workspace = workspaceOf(groups);
    const freedPerMs = Math.max(1, capacity.slots) / Math.max(1, capacity.meanLatency);
    const queue = this.queues.get(priority);
    if (this.isNextOwed(groups)) return 1 / freedPerMs;
    const startCount = queue
      ? queue.startsUntil(workspace, WORKSPACE_WEIGHT, queue.length(workspace))
      : 1;
    const leftPerMs = Math.max(
      MIN_FREED_SLOT_RATIO * freedPerMs,
      freedPerMs - this.urgentArrivalRate(priority, now),
    );
    return (this.sum((other) => other < priority) + startCount) / leftPerMs;
  }

  /** Decides whether a request may wait and counts it as arrived; it is not added to the queue. */
  admit(request: QueuedRequest, capacity: ServiceCapacity): QueueDecision {
    this.shares.recordArrival(request, request.arrivedAt);
    const wait = this.expectedWait(request, capacity, request.arrivedAt);
    this.recordArrival(request);
    if (request.arrivedAt + wait <= request.startBy) return { kind: 'wait' };
    return { kind: 'refuse', retryAfter: Math.max(MIN_RETRY_AFTER_MS, wait) };
  }

  /** Records a request that started on arrival. */
  recordImmediateStart(request: QueuedRequest): void {
    this.shares.recordArrival(request, request.arrivedAt);
    this.recordStart(request, request.arrivedAt);
  }

  /** Records that a request which had to wait is sent. */
  recordStart(request: QueuedRequest, now: Instant): void {
    this.shares.recordStart(request, now);
  }

  add(request: T): void {
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
    return late;
  }

  private takeUrgent(accepts: (request: T) => boolean): T | undefined {
    for (const priority of this.urgencies) {
      const taken = this.queues.get(priority)?.take(accepts);
      if (taken) return taken;
    }
    return undefined;
  }

  /** Whether an arriving request is within the starts that one of its groups is owed. */
  private isNextOwed({ priority, workspace }: ShareGroups): boolean {
    const queue = this.queues.get(priority);
    if ((queue?.size ?? 0) < this.shares.owedToPriority(priority)) return true;
    if (workspace === undefined) return false;
    return (queue?.length(workspace) ?? 0) < this.shares.owedToWorkspace(workspace);
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
