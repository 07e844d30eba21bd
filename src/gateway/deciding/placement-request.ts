import type { LoadBalancer } from '../../core/placement';
import type { GatewayRoute, Instant } from '../../model';

import { costFeaturesOf } from './attempt';
import type { CallerRequest } from '../request/caller-request';
import { disabledIn, type GatewayContext } from '../context';
import type { QueueablePlacement } from '../scheduling/queued-placement';

/**
 * A request should start early enough to end within this ratio of the latency objective if it takes
 * the mean latency.
 */
const START_BY_OBJECTIVE_RATIO = 0.95;
/** Time for which a request may wait in any case, as a ratio of the latency objective. */
const MIN_WAIT_OBJECTIVE_RATIO = 0.125;

/** What a request asks of the next upstream. */
export interface NextAttempt {
  readonly request: CallerRequest;
  readonly route: GatewayRoute;
  readonly balancer: LoadBalancer;
  readonly priority: number;
  /** When the request is given up. */
  readonly deadline: Instant;
  /** Whether it may be retried if this attempt fails. */
  readonly retryable: boolean;
  /** Ids of the upstreams that have been attempted. */
  readonly tried: ReadonlySet<string>;
}

/** Describes to the scheduler what an attempt made now needs. */
export const placementRequestOf = (
  context: GatewayContext,
  { request, route, balancer, priority, deadline, retryable, tried }: NextAttempt,
): QueueablePlacement => {
  const { arrivedAt, readAt, signal, body, workspace } = request;
  const meanLatency = balancer.meanLatency(route.name);
  const now = context.clock.now();
  // One that was read late may still wait; only its deadline binds.
  const inObjective = readAt + START_BY_OBJECTIVE_RATIO * route.latencyObjective - meanLatency;
  const mayWaitUntil = readAt + MIN_WAIT_OBJECTIVE_RATIO * route.latencyObjective;
  return {
    retryable,
    tried,
    bodyBytes: body.length,
    meanBytes: body.length + balancer.meanBytes(route.name),
    meanLatency,
    cost: disabledIn(context).has('learned-cost')
      ? undefined
      : balancer.costs.estimate(costFeaturesOf(request, route)),
    objective: arrivedAt + route.latencyObjective - now,
    remaining: deadline - now,
    lastResort: false,
    priority,
    workspace: workspace?.name,
    arrivedAt: now,
    startBy: Math.min(Math.max(inObjective, mayWaitUntil), deadline),
    signal,
    route: route.name,
  };
};
