import type { DataCentre, DisabledMechanisms, Instant, Millis, UpstreamId } from '../../model';
import type { SendingHosts } from '../announcements';
import type { CostEstimate, Slowdown } from '../cost';

import type { UpstreamStats } from './upstream-stats';

/** The properties of a request that the choice of its upstream depends on. */
export interface PlacementRequest {
  /** Whether the request may be sent again after a failed attempt. */
  readonly retryable: boolean;
  /** Length in bytes of the request's body plus the mean length of its route's answer bodies. */
  readonly meanBytes: number;
  /** Size in bytes of the request's body; 0 if left out. */
  readonly bodyBytes?: number;
  /** Mean latency in milliseconds of the answers on the request's route. */
  readonly meanLatency: Millis;
  /** Milliseconds from now within which an answer meets the route's latency objective. */
  readonly objective: Millis;
  /** Milliseconds from now until the request's deadline. */
  readonly remaining: Millis;
  /** Expected cost of the request; without it, requests count as equal. */
  readonly cost?: CostEstimate | undefined;
  /** Whether the request can wait no longer, so that any upstream is preferred to none. */
  readonly lastResort: boolean;
  /** Upstreams that the request has already been sent to; they are not chosen again. */
  readonly tried: ReadonlySet<UpstreamId>;
}

/** What a balancer has learned of its service's costs. */
export interface ServiceCosts {
  /** The estimate for requests of other nodes. */
  readonly usual: CostEstimate;
  /** Mean remaining time of requests of other nodes. */
  readonly usualRemaining: Millis;
  readonly slowdown: Slowdown;
}

/** The result of choosing an upstream for a request. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly stats: UpstreamStats;
      /**
       * Reason for the choice: `proven` has a low failure probability, `trial` has a higher one but
       * the lowest cost, `cover` had no request recently, `newcomer` never had one.
       */
      readonly why: 'proven' | 'trial' | 'cover' | 'newcomer';
    }
  /**
   * Every ready upstream is full or avoided for a moment, or it is better to wait for another one.
   */
  | { readonly kind: 'full' }
  /**
   * All ready upstreams have announced terms that let this host send them nothing before `until`;
   * Infinity if that is left to other hosts.
   */
  | { readonly kind: 'held'; readonly until: Instant }
  /** No upstream is ready that the request has not been sent to. */
  | { readonly kind: 'none' };

/** The state of the node and the service when an upstream is chosen. */
export interface PlacementContext {
  readonly now: Instant;
  readonly dataCentre: DataCentre;
  /** Whether this node is an owner of the service and receives the other owners' observations. */
  readonly isOwner: boolean;
  /** The hosts that share the limits which upstreams of the service announce. */
  readonly sendingHosts: SendingHosts;
  /**
   * Returns a number from 0 up to but excluding 1; spreads requests over equally good upstreams.
   */
  readonly random: () => number;
  /**
   * Lowest ratio, 0 to 1, of the upstreams without a recent failure that should have had a recent
   * request; below it, this request goes to one that had none.
   */
  readonly minCoverageRatio: number;
  readonly costs: ServiceCosts;
  /** The mechanisms that are switched off for a measurement. */
  readonly disabled: DisabledMechanisms;
}
