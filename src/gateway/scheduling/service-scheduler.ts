import { guarded } from '../../adapters/guarded';
import { RefusedPriorities, serviceKeyOf, type UnservedPriority } from '../../core/evidence';
import { FleetRetryBudget } from '../../core/gateway';
import {
  LoadBalancer,
  type Placement,
  type TermsSource,
  type UpstreamStats,
} from '../../core/placement';
import { RequestQueue, type QueueDecision, type ServiceCapacity } from '../../core/waiting';
import type {
  DisabledMechanisms,
  GatewayUpstream,
  Instant,
  Millis,
  ServiceName,
  UpstreamId,
} from '../../model';

import { disabledIn, type GatewayContext } from '../context';
import { QueuedPlacement, type PlacementResult, type QueueablePlacement } from './queued-placement';

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

/**
 * Time in milliseconds after a drain of the queue within which an arriving request is placed
 * without another one; each try costs a choice among all upstreams.
 */
const MIN_DRAIN_INTERVAL_MS: Millis = 5;

/** Number of queued requests that may fail to be placed before a drain of the queue stops. */
const MAX_FAILED_PLACEMENT_COUNT = 3;

/**
 * Schedules the requests of one service: balances them over its upstreams, queues them and limits
 * retries.
 */
export class ServiceScheduler {
  readonly balancer: LoadBalancer;

  /** Identifies the service in reports to other owners. */
  readonly key: number;

  readonly retryBudget: FleetRetryBudget;

  private readonly disabled: DisabledMechanisms;

  private readonly queue: RequestQueue<QueuedPlacement>;

  private readonly refused = new RefusedPriorities();

  private timer: NodeJS.Timeout | undefined;

  private lastDrainAt: Instant = Number.NEGATIVE_INFINITY;

  constructor(
    readonly name: ServiceName,
    private readonly context: GatewayContext,
    private readonly isOwner: () => boolean,
    termsSource?: TermsSource,
    /** Returns the most urgent priority that other hosts report as waiting or refused there. */
    mostUrgentWaitingAtPeers: () => number | undefined = () => undefined,
    /** Returns the number of hosts that share the fixed part of the retry budget; 0 without one. */
    retrySharers: (now: Instant) => number = () => 1,
  ) {
    this.queue = new RequestQueue(context.random, mostUrgentWaitingAtPeers);
    const coverShare = (): number =>
      Math.min(1, context.settings.bounds.floorShare + COVER_MARGIN_RATIO);
    const { dataCentre } = context.settings;
    this.key = serviceKeyOf(name);
    this.disabled = disabledIn(context);
    this.balancer = new LoadBalancer(
      name,
      dataCentre,
      coverShare,
      context.random,
      termsSource,
      this.disabled,
    );
    this.retryBudget = new FleetRetryBudget(
      () => context.settings.bounds,
      retrySharers,
      context.clock.now(),
      !this.disabled.has('retry-reserve'),
    );
  }

  /** Number of queued requests. */
  get waitingCount(): number {
    return this.queue.length;
  }

  /** Returns the most urgent priority that waits here or was refused in the last half second. */
  mostUrgentUnserved(now: Instant): UnservedPriority | undefined {
    return this.refused.mostUrgent(this.queue.mostUrgentWaiting, now);
  }

  /** Chooses an upstream, now or when one has room, and takes a slot there for the request. */
  async place(request: QueueablePlacement, requestId: string): Promise<PlacementResult> {
    if (request.signal.aborted) return { kind: 'cancelled' };
    const placed = await this.placeOrQueue(request, requestId);
    if (placed.kind === 'refused') this.refused.record(request.priority, this.context.clock.now());
    return placed;
  }

  private placeOrQueue(request: QueueablePlacement, requestId: string): Promise<PlacementResult> {
    const now = this.context.clock.now();
    // The queued requests go first; slots also become free by the passing of time.
    if (this.queue.length > 0 && now - this.lastDrainAt >= MIN_DRAIN_INTERVAL_MS) this.drainQueue();
    const first = this.queue.isHeldBack(request) ? undefined : this.placeNow(request, requestId);
    if (first) {
      if (first.kind === 'send') this.queue.recordImmediateStart(request);
      return Promise.resolve(first);
    }
    if (this.disabled.has('waiting')) {
      return Promise.resolve(this.placeLast(request, requestId, this.retryAfter(request)));
    }
    const admission = this.queue.admit(request, this.capacityFor(request));
    if (this.mustRefuse(admission)) {
      return Promise.resolve(this.placeLast(request, requestId, admission.retryAfter));
    }
    return new Promise((resolve) => {
      const queued = new QueuedPlacement(request, {
        attempt: () => this.placeNow(request, requestId),
        lastResort: () => this.placeLast(request, requestId, this.retryAfter(request)),
        leave: (placed) => {
          this.queue.remove(queued);
          resolve(placed);
        },
      });
      this.queue.add(queued);
      this.scheduleDrain();
    });
  }

  /** Whether a request that can't be placed now is refused in place of waiting. */
  private mustRefuse(
    admission: QueueDecision,
  ): admission is Extract<QueueDecision, { kind: 'refuse' }> {
    return admission.kind === 'refuse' && !this.disabled.has('early-refusal');
  }

  /** Places a request even at an upstream for which it would rather wait, or refuses it. */
  private placeLast(
    request: QueueablePlacement,
    requestId: string,
    retryAfter: Millis,
  ): PlacementResult {
    const now = this.context.clock.now();
    const placed = this.queue.isHeldBack(request)
      ? undefined
      : this.placeNow({ ...request, lastResort: true }, requestId);
    if (placed?.kind === 'send') this.queue.recordStart(request, now);
    return (
      placed ?? { kind: 'refused', why: 'no-room', retryAfter, waited: now - request.arrivedAt }
    );
  }

  /** Returns the Retry-After in milliseconds of a request that is refused now. */
  retryAfter(request: QueueablePlacement): Millis {
    return this.queue.retryAfter(request, this.capacityFor(request), this.context.clock.now());
  }

  private capacityFor({ route }: QueueablePlacement): ServiceCapacity {
    return {
      slots: this.balancer.slots(this.context.clock.now()),
      meanLatency: this.balancer.meanLatency(route),
    };
  }

  /** Ends the waiting of expired requests, and places others while there is room. */
  drainQueue(): void {
    const now = this.context.clock.now();
    this.lastDrainAt = now;
    this.queue.removeExpired(now).forEach((queued) => queued.expire());
    const failed = new Set<QueuedPlacement>();
    let placed: PlacementResult | undefined;
    const accepts = (queued: QueuedPlacement): boolean => {
      if (failed.size >= MAX_FAILED_PLACEMENT_COUNT || failed.has(queued)) return false;
      placed = queued.attempt();
      if (!placed) failed.add(queued);
      return placed !== undefined;
    };
    for (;;) {
      const queued = this.queue.take(accepts);
      if (!queued || !placed) return;
      if (placed.kind === 'send') this.queue.recordStart(queued, now);
      queued.settle(placed);
    }
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
          {
            ...request,
            pending:
              request.cost &&
              this.balancer.costs.pendingRequest(placement.stats, request.cost, now),
          },
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

  /** Ends the waiting of requests for which no start in time can be expected any more. */
  private refuseHopeless(): void {
    if (this.disabled.has('early-refusal')) return;
    const now = this.context.clock.now();
    const slots = this.balancer.slots(now);
    this.queue
      .removeHopeless(
        ({ route }) => ({ slots, meanLatency: this.balancer.meanLatency(route) }),
        now,
      )
      .forEach((queued) => queued.expire());
  }

  /** Drains the queue at intervals until it is empty. */
  private scheduleDrain(): void {
    if (this.timer) return;
    this.timer = setTimeout(
      guarded('service-scheduler timer', () => {
        this.timer = undefined;
        this.refuseHopeless();
        this.drainQueue();
        if (this.queue.length > 0) this.scheduleDrain();
      }),
      QUEUE_POLL_MS,
    );
  }
}
