import type { Instant, Millis, WorkspaceName } from '../../model';

import { ArrivalRates } from './arrival-rates';
import { FairQueue } from './fair-queue';
import { holdsBack } from './hold-back';
import { MIN_SHARE_RATIO, MinimumShares, type ShareGroups } from './minimum-shares';
import { Refusals } from './refusals';
import { StartRate } from './start-rate';
import type { QueueDecision, QueuedRequest, ServiceCapacity } from './types';

/** Lowest ratio of the freed slots assumed to be left for less urgent requests. */
const MIN_FREED_SLOT_RATIO = 0.02;

/**
 * Ratio of the expected wait: a request may wait if it would start in time after that wait. At 1 a
 * quarter of the refused requests of a long overload wait first, as the estimate varies.
 */
const SAFE_WAIT_RATIO = 1.2;
/** Ratio of the expected wait: a queued request is refused if even that wait makes it late. */
const CERTAIN_WAIT_RATIO = 0.75;

/**
 * Number of owed starts allowed for each other start, so that they take a third of all at most when
 * a host overestimates the mean share.
 */
const OWED_START_RATIO = 0.5;
/** Largest number of owed starts in succession while others wait. */
const MAX_OWED_ALLOWANCE = 4;
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

  private readonly arrivals = new ArrivalRates();

  /** Number of owed starts that may go before the others. */
  private owedAllowance = MAX_OWED_ALLOWANCE;

  private readonly shares = new MinimumShares();

  private readonly startRate = new StartRate();

  private readonly refusals: Refusals;

  /**
   * `random` returns a number from 0 up to but excluding 1, and `mostUrgentWaitingAtPeers` the most
   * urgent priority that waits or is refused at other hosts, undefined if none is known.
   */
  constructor(
    random: () => number = () => 0,
    private readonly mostUrgentWaitingAtPeers: () => number | undefined = () => undefined,
  ) {
    this.refusals = new Refusals(random);
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
    this.shares.recordArrival(request, arrivedAt, this.isBehindPeers(request.priority));
    const wait = this.expectedWait(request, capacity, arrivedAt);
    this.arrivals.record(request.priority, arrivedAt);
    if (arrivedAt + SAFE_WAIT_RATIO * wait <= request.startBy) return { kind: 'wait' };
    return { kind: 'refuse', retryAfter: this.retryAfter(request, capacity, arrivedAt) };
  }

  /** Returns the Retry-After in milliseconds of a request that is refused now. */
  retryAfter(groups: ShareGroups, capacity: ServiceCapacity, now: Instant): Millis {
    const wait = this.expectedWait(groups, capacity, now);
    const interval = 1 / this.leftPerMs(groups.priority, capacity, now);
    return this.refusals.retryAfter(groups.priority, wait, interval, now);
  }

  /** Whether a request has to wait although there may be room for it, for other hosts' sake. */
  isHeldBack({ priority, workspace }: ShareGroups): boolean {
    const owed = this.shares.owedToPriority(priority, true);
    const owedToWorkspace = workspace === undefined ? 0 : this.shares.owedToWorkspace(workspace);
    return holdsBack(priority, this.mostUrgentWaitingAtPeers(), owed + owedToWorkspace);
  }

  /**
   * Returns the most urgent priority that waits here or was refused lately, which other hosts hold
   * less urgent requests back for; undefined if there is none.
   */
  mostUrgentUnserved(now: Instant): number | undefined {
    const waiting = this.mostUrgentWaiting;
    const unserved = this.refusals.recentPriorities(now);
    if (waiting === undefined && unserved.length === 0) return undefined;
    return Math.min(waiting ?? Number.POSITIVE_INFINITY, ...unserved);
  }

  /** The most urgent priority that waits here; undefined if nothing does. */
  get mostUrgentWaiting(): number | undefined {
    const waiting = this.urgencies.filter((priority) => this.queues.get(priority)?.size);
    return waiting.length > 0 ? Math.min(...waiting) : undefined;
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
    if (!this.isBehindPeers(request.priority)) this.startRate.setWaiting(true, request.arrivedAt);
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
    const mayTakeOwed = this.owedAllowance >= 1;
    const owed = mayTakeOwed ? this.takeOwed(accepts) : undefined;
    if (owed) {
      this.owedAllowance -= 1;
      return owed;
    }
    const urgent = this.takeUrgent(accepts);
    if (!urgent) return mayTakeOwed ? undefined : this.takeOwed(accepts);
    this.owedAllowance = Math.min(MAX_OWED_ALLOWANCE, this.owedAllowance + OWED_START_RATIO);
    return urgent;
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
    // What is held back for other hosts doesn't show how many requests this one can start.
    this.startRate.setWaiting(this.sum((priority) => !this.isBehindPeers(priority)) > 0, now);
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
    const least = MIN_FREED_SLOT_RATIO * perMs;
    if (this.isBehindPeers(priority))
      return Math.max(least, MIN_SHARE_RATIO * this.shares.meanShare(true) * perMs);
    return Math.max(least, perMs - this.arrivals.perMilliAbove(priority, now));
  }

  /** Whether other hosts report a more urgent request that waits or is refused there. */
  private isBehindPeers(priority: number): boolean {
    return holdsBack(priority, this.mostUrgentWaitingAtPeers(), 0);
  }

  private takeUrgent(accepts: (request: T) => boolean): T | undefined {
    for (const priority of this.urgencies) {
      if (this.isBehindPeers(priority)) return undefined;
      const taken = this.queues.get(priority)?.take(accepts);
      if (taken) return taken;
    }
    return undefined;
  }

  /** Whether a request at a position is within the starts that one of its groups is owed. */
  private isOwedAt(position: number, { priority, workspace }: ShareGroups): boolean {
    if (position < this.shares.owedToPriority(priority, this.isBehindPeers(priority))) return true;
    return workspace !== undefined && position < this.shares.owedToWorkspace(workspace);
  }

  /** Takes a request of a priority or workspace that is owed a start, most starts first. */
  private takeOwed(accepts: (request: T) => boolean): T | undefined {
    if (!this.shares.isInForce && this.mostUrgentWaitingAtPeers() === undefined) return undefined;
    const owed = this.urgencies.flatMap((priority) => {
      const queue = this.queues.get(priority);
      if (!queue || queue.size === 0) return [];
      const workspaces = queue.queuedWorkspaces().map((workspace) => ({
        count: this.shares.owedToWorkspace(workspace),
        take: () => queue.takeFrom(workspace, accepts),
      }));
      const ofPriority = {
        count: this.shares.owedToPriority(priority, this.isBehindPeers(priority)),
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
}
