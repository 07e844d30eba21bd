import { WindowedRetryBudget } from '../core/gateway';
import {
  LoadBalancer,
  type Placement,
  type PlacementRequest,
  type TermsSource,
  type UpstreamStats,
} from '../core/placement';
import { RequestQueue, type QueuedRequest } from '../core/waiting';
import type { GatewayUpstream, Instant, Millis, ServiceName, UpstreamId } from '../model';

import type { GatewayContext } from './context';

/**
 * Interval in milliseconds at which the queue is drained in addition to whenever a slot is freed.
 */
const QUEUE_POLL_MS: Millis = 25;

/**
 * Margin by which the share of upstreams in use is kept above the configured floor (a ratio of 0 to
 * 1). The floor may be counted over a part of the healthy upstreams only, for example if half of
 * them have a fault that this gateway can't see.
 */
const COVER_MARGIN_RATIO = 0.15;

/** Retry-After in milliseconds where the limits of all upstreams are left to other hosts. */
const OTHER_HOSTS_RETRY_AFTER_MS: Millis = 1000;

/** Number of queued requests that may fail to be placed before a drain of the queue stops. */
const MAX_FAILED_PLACEMENT_COUNT = 3;

/** A request to be placed at an upstream, with what it needs to be queued. */
export interface QueueablePlacement extends PlacementRequest, QueuedRequest {
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
  /** Name of the route; latencies and answer sizes are averaged by route. */
  readonly route: string;
}

/** The upstream chosen for a request, or the reason why there is none. */
export type PlacementResult =
  | Extract<Placement, { kind: 'send' }>
  | { readonly kind: 'none' }
  | {
      readonly kind: 'refused';
      /** `held-back` if the upstreams' announcements allow no request before `retryAfter`. */
      readonly why: 'no-room' | 'held-back';
      readonly retryAfter: Millis;
      readonly waited: Millis;
    }
  | { readonly kind: 'cancelled' };

/** Functions of the scheduler that a queued request calls. */
interface QueuedPlacementPorts {
  /** Tries to place the request; undefined if it has to go on waiting. */
  attempt(): PlacementResult | undefined;
  /** Places the request even at an upstream for which it would rather wait, or refuses it. */
  lastResort(): PlacementResult;
  /** Takes the request off the queue and delivers its result. */
  settle(placed: PlacementResult): void;
}

/** A request that waits until it is placed, its waiting time is over or its caller leaves. */
class QueuedPlacement implements QueuedRequest {
  readonly priority: number;

  readonly arrivedAt: Instant;

  readonly startBy: Instant;

  constructor(
    private readonly request: QueueablePlacement,
    private readonly ports: QueuedPlacementPorts,
  ) {
    ({ priority: this.priority, arrivedAt: this.arrivedAt, startBy: this.startBy } = request);
    request.signal.addEventListener('abort', this.onAbort, { once: true });
  }

  /** Tries to place the request; returns true if it no longer waits. */
  attempt(): boolean {
    const placed = this.ports.attempt();
    if (placed) this.settle(placed);
    return placed !== undefined;
  }

  /** Ends the waiting because `startBy` has passed. */
  expire(): void {
    this.settle(this.ports.lastResort());
  }

  /** Ends the waiting without an upstream. */
  abandon(): void {
    this.settle({ kind: 'none' });
  }

  private readonly onAbort = (): void => this.settle({ kind: 'cancelled' });

  private settle(placed: PlacementResult): void {
    this.request.signal.removeEventListener('abort', this.onAbort);
    this.ports.settle(placed);
  }
}

/**
 * Schedules the requests of one service: balances them over its upstreams, queues them and limits
 * retries.
 */
export class ServiceScheduler {
  readonly balancer: LoadBalancer;

  readonly retryBudget: WindowedRetryBudget;

  private readonly queue = new RequestQueue<QueuedPlacement>();

  private timer: NodeJS.Timeout | undefined;

  constructor(
    readonly name: ServiceName,
    private readonly context: GatewayContext,
    private readonly isOwner: () => boolean,
    termsSource?: TermsSource,
  ) {
    const coverShare = (): number =>
      Math.min(1, context.settings.bounds.floorShare + COVER_MARGIN_RATIO);
    const { dataCentre } = context.settings;
    this.balancer = new LoadBalancer(name, dataCentre, coverShare, context.random, termsSource);
    this.retryBudget = new WindowedRetryBudget(() => context.settings.bounds, context.clock.now());
  }

  /** Number of queued requests. */
  get waitingCount(): number {
    return this.queue.length;
  }

  /** Chooses an upstream, now or when one has room, and takes a slot there for the request. */
  place(request: QueueablePlacement, requestId: string): Promise<PlacementResult> {
    const first = this.placeNow(request, requestId);
    if (first) return Promise.resolve(first);
    const now = this.context.clock.now();
    const load = {
      slots: this.balancer.slots(now),
      meanLatency: this.balancer.meanLatency(request.route),
    };
    const admission = this.queue.admit(request, load);
    if (admission.kind === 'refuse') {
      const last = this.placeNow({ ...request, lastResort: true }, requestId);
      return Promise.resolve(
        last ?? {
          kind: 'refused',
          why: 'no-room',
          retryAfter: admission.retryAfter,
          waited: 0,
        },
      );
    }
    return new Promise((resolve) => {
      const queued = new QueuedPlacement(request, {
        attempt: () => this.placeNow(request, requestId),
        lastResort: () =>
          this.placeNow({ ...request, lastResort: true }, requestId) ?? {
            kind: 'refused',
            why: 'no-room',
            retryAfter: this.queue.expectedWait(request.priority, load, this.context.clock.now()),
            waited: this.context.clock.now() - now,
          },
        settle: (placed) => {
          this.queue.remove(queued);
          resolve(placed);
        },
      });
      this.queue.add(queued);
      this.scheduleDrain();
    });
  }

  /** Ends the waiting of expired requests, and places others while there is room. */
  drainQueue(): void {
    this.queue.removeExpired(this.context.clock.now()).forEach((queued) => queued.expire());
    let failed = 0;
    this.queue.all().forEach((queued) => {
      if (failed < MAX_FAILED_PLACEMENT_COUNT && !queued.attempt()) failed += 1;
    });
  }

  /** Ends the waiting of all requests with `none`, as this node has no path to the upstreams. */
  abandonQueue(): void {
    this.queue.all().forEach((queued) => queued.abandon());
  }

  /** Adds or updates an upstream. */
  put(upstream: GatewayUpstream): void {
    this.balancer.put(upstream, this.context.clock.now());
    this.drainQueue();
  }

  /** Marks an upstream whose registration has lapsed, so that registered ones go first. */
  markLapsed(id: UpstreamId): void {
    this.balancer.markLapsed(id);
  }

  remove(id: UpstreamId): void {
    this.balancer.remove(id);
    this.drainQueue();
  }

  /** Releases the slot of an attempt that has ended. */
  release(stats: UpstreamStats, requestId: string): void {
    stats.attemptEnded(requestId);
    this.drainQueue();
  }

  /**
   * Works like `place`, but returns undefined where the request would have to wait, or if `accepts`
   * refuses the upstream; nothing is then recorded of it.
   */
  placeNow(
    request: QueueablePlacement,
    requestId: string,
    accepts: (placement: Extract<Placement, { kind: 'send' }>) => boolean = () => true,
  ): PlacementResult | undefined {
    const now: Instant = this.context.clock.now();
    const placement = this.balancer.place(request, this.isOwner(), now);
    switch (placement.kind) {
      case 'send':
        if (!accepts(placement)) return undefined;
        placement.stats.attemptStarted(
          requestId,
          now,
          now + this.balancer.overdueAfter(request.route),
          request.meanLatency,
          request.cost && this.balancer.costs.pendingRequest(placement.stats, request.cost, now),
        );
        return placement;
      case 'none':
        return { kind: 'none' };
      case 'full':
        return undefined;
      case 'held':
        // A wait beyond the time at which the request is to start would be in vain.
        if (placement.until <= request.startBy && !request.lastResort) return undefined;
        return {
          kind: 'refused',
          why: 'held-back',
          retryAfter: Number.isFinite(placement.until)
            ? placement.until - now
            : OTHER_HOSTS_RETRY_AFTER_MS,
          waited: now - request.arrivedAt,
        };
    }
  }

  /** Drains the queue at intervals until it is empty. */
  private scheduleDrain(): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.drainQueue();
      if (this.queue.length > 0) this.scheduleDrain();
    }, QUEUE_POLL_MS);
  }
}
