import { guarded } from '../../adapters/guarded';
import type { Placement, PlacementRequest } from '../../core/placement';
import type { QueuedRequest } from '../../core/waiting';
import type { Instant, Millis, WorkspaceName } from '../../model';

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
export interface QueuedPlacementPorts {
  /** Tries to place the request; undefined if it has to go on waiting. */
  attempt(): PlacementResult | undefined;
  /** Places the request even at an upstream for which it would rather wait, or refuses it. */
  lastResort(): PlacementResult;
  /** Takes the request off the queue, if it is still there, and delivers its result. */
  leave(placed: PlacementResult): void;
}

/** A request that waits until it is placed, its waiting time is over or its caller leaves. */
export class QueuedPlacement implements QueuedRequest {
  readonly priority: number;

  readonly workspace: WorkspaceName | undefined;

  readonly route: string;

  readonly arrivedAt: Instant;

  readonly startBy: Instant;

  constructor(
    private readonly request: QueueablePlacement,
    private readonly ports: QueuedPlacementPorts,
  ) {
    ({ priority: this.priority, workspace: this.workspace, route: this.route } = request);
    ({ arrivedAt: this.arrivedAt, startBy: this.startBy } = request);
    request.signal.addEventListener('abort', this.onAbort, { once: true });
  }

  /** Tries to place the request; undefined if it has to go on waiting. */
  attempt(): PlacementResult | undefined {
    return this.ports.attempt();
  }

  /** Ends the waiting because the request can't start in time. */
  expire(): void {
    this.settle(this.ports.lastResort());
  }

  /** Ends the waiting without an upstream. */
  abandon(): void {
    this.settle({ kind: 'none' });
  }

  private readonly onAbort = guarded('queued-placement abort', () =>
    this.settle({ kind: 'cancelled' }),
  );

  /** Ends the waiting with a result. */
  settle(placed: PlacementResult): void {
    this.request.signal.removeEventListener('abort', this.onAbort);
    this.ports.leave(placed);
  }
}
