import { WindowedRetryBudget } from '../core/gateway';
import {
  LoadBalancer,
  type Placement,
  type PlacementRequest,
  type UpstreamStats,
} from '../core/placement';
import { RequestQueue, type QueuedRequest } from '../core/waiting';
import type { GatewayUpstream, Instant, Millis, ServiceName, UpstreamId } from '../model';

import type { GatewayContext } from './context';

/** How often waiting requests are looked at beside the moments when a slot is freed. */
const WAITING_PERIOD: Millis = 25;

/**
 * By how much the share of upstreams in use is kept over the floor: the floor may be counted over
 * some of the sound upstreams only, as where half of them meet trouble that this node can't see.
 */
const COVER_MARGIN = 0.15;

/** Waiting requests that may fail to be placed before the rest is left for later. */
const LOOKED_AT = 3;

/** What a request needs to be placed. */
export interface QueueablePlacement extends PlacementRequest, QueuedRequest {
  readonly signal: AbortSignal;
  /** The route, whose requests take alike. */
  readonly route: string;
}

/** Where a request goes, or why it goes nowhere. */
export type PlacementResult =
  | Extract<Placement, { kind: 'send' }>
  | { readonly kind: 'none' }
  | { readonly kind: 'refused'; readonly retryAfter: Millis; readonly waited: Millis }
  | { readonly kind: 'cancelled' };

/** What a waiting request asks of its desk. */
interface QueuedPlacementPorts {
  attempt(): PlacementResult | undefined;
  /** Takes what there is, or refuses. */
  lastResort(): PlacementResult;
  settle(placed: PlacementResult): void;
}

/** A request that waits until it is placed, has waited too long, or its caller leaves. */
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

  /** Tries to place the request; true when it is settled. */
  attempt(): boolean {
    const placed = this.ports.attempt();
    if (placed) this.settle(placed);
    return placed !== undefined;
  }

  expire(): void {
    this.settle(this.ports.lastResort());
  }

  private readonly onAbort = (): void => this.settle({ kind: 'cancelled' });

  private settle(placed: PlacementResult): void {
    this.request.signal.removeEventListener('abort', this.onAbort);
    this.ports.settle(placed);
  }
}

/** One service at this gateway: its upstreams, who waits for them, and its repeats. */
export class ServiceScheduler {
  readonly balancer: LoadBalancer;

  readonly retryBudget: WindowedRetryBudget;

  private readonly queue = new RequestQueue<QueuedPlacement>();

  private timer: NodeJS.Timeout | undefined;

  constructor(
    readonly name: ServiceName,
    private readonly context: GatewayContext,
    private readonly isOwner: () => boolean,
  ) {
    const coverShare = (): number => Math.min(1, context.settings.bounds.floorShare + COVER_MARGIN);
    const { dataCentre } = context.settings;
    this.balancer = new LoadBalancer(name, dataCentre, coverShare, context.random);
    this.retryBudget = new WindowedRetryBudget(() => context.settings.bounds, context.clock.now());
  }

  get waiting(): number {
    return this.queue.length;
  }

  /** Chooses an upstream, now or when one has room, and counts the request as sent there. */
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
        last ?? { kind: 'refused', retryAfter: admission.retryAfter, waited: 0 },
      );
    }
    return new Promise((resolve) => {
      const waiting = new QueuedPlacement(request, {
        attempt: () => this.placeNow(request, requestId),
        lastResort: () =>
          this.placeNow({ ...request, lastResort: true }, requestId) ?? {
            kind: 'refused',
            retryAfter: this.queue.expectedWait(request.priority, load, this.context.clock.now()),
            waited: this.context.clock.now() - now,
          },
        settle: (placed) => {
          this.queue.remove(waiting);
          resolve(placed);
        },
      });
      this.queue.add(waiting);
      this.wake();
    });
  }

  /** Lets waiting requests have what room there is. */
  drainQueue(): void {
    this.queue.removeExpired(this.context.clock.now()).forEach((waiting) => waiting.expire());
    let failed = 0;
    this.queue.all().forEach((waiting) => {
      if (failed < LOOKED_AT && !waiting.attempt()) failed += 1;
    });
  }

  put(upstream: GatewayUpstream): void {
    this.balancer.put(upstream, this.context.clock.now());
    this.drainQueue();
  }

  remove(id: UpstreamId): void {
    this.balancer.remove(id);
    this.drainQueue();
  }

  /** Ends an attempt's claim on its slot. */
  release(stats: UpstreamStats, requestId: string): void {
    stats.attemptEnded(requestId);
    this.drainQueue();
  }

  /** As `place`, but undefined where the request would have to wait. */
  placeNow(request: QueueablePlacement, requestId: string): PlacementResult | undefined {
    const now: Instant = this.context.clock.now();
    const placement = this.balancer.place(request, this.isOwner(), now);
    switch (placement.kind) {
      case 'send':
        placement.stats.attemptStarted(
          requestId,
          now,
          now + this.balancer.overdueAfter(request.route),
        );
        return placement;
      case 'none':
        return { kind: 'none' };
      case 'full':
        return undefined;
    }
  }

  private wake(): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.drainQueue();
      if (this.queue.length > 0) this.wake();
    }, WAITING_PERIOD);
  }
}
