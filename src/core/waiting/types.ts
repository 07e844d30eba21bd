import type { Instant, Millis } from '../../model';

import type { ShareGroups } from './minimum-shares';

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
