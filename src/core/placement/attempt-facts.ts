import type { PendingRequest } from '../cost';
import type { Instant, Millis } from '../../model';

import type { EvidenceKind } from './fault-model';

/**
 * The conclusion about an upstream from how an attempt ended: evidence for the fault model, `busy`
 * if it shed the request, `unreachable` if it could not be connected to, or `none`.
 */
export type AttemptVerdict =
  | { readonly kind: 'evidence'; readonly evidence: EvidenceKind }
  | { readonly kind: 'busy' | 'unreachable' | 'none' };

/** The numbers of requests at an upstream, as it reports them. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Properties of a request that is sent to an upstream. */
export interface SentRequest {
  /** Mean latency of its route. */
  readonly meanLatency: Millis;
  /** Size of its body in bytes. */
  readonly bodyBytes: number;
  /** Its expected work; undefined if its cost is not estimated. */
  readonly pending: PendingRequest | undefined;
}

/** A request sent to an upstream that has not ended. */
export interface InFlightRequest {
  readonly startedAt: Instant;
  /** Time from which the answer is overdue, which is the only sign of an upstream that hangs. */
  readonly overdueAt: Instant;
  /** Estimated position in the upstream's queue when it was sent; 0 or less if a slot was free. */
  readonly level: number;
  /** The same, counting only this node's requests. */
  readonly ownLevel: number;
  readonly bodyBytes: number;
}
