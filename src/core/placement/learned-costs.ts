import type { Instant, Millis } from '../../model';
import {
  CostModel,
  meanRemaining,
  Slowdown,
  type CostEstimate,
  type CostFeatures,
  type PendingRequest,
  type RequestCost,
} from '../cost';

import { expectedWork } from './completion-time';
import type { ServiceCosts } from './placement';
import type { UpstreamStats } from './upstream-stats';

/** Lowest ratio of the time to an answer that counts as running where the request was queued. */
const MIN_RUN_RATIO = 0.3;
/** Weight, 0 to 1, of a cost that is inferred by subtracting the expected wait. */
const QUEUED_RELIABILITY = 0.2;

/** Learns the costs of a service's requests and the speeds of its upstreams from answers. */
export class LearnedCosts {
  private readonly model = new CostModel();

  private readonly slowdown = new Slowdown();

  /** Number of classes of requests narrower than a route. */
  get classCount(): number {
    return this.model.classCount;
  }

  estimate(features: CostFeatures): RequestCost {
    return this.model.estimate(features);
  }

  /** Returns what is known of the service's requests at large. */
  ofService(): ServiceCosts {
    const usual = this.model.serviceEstimate();
    return { usual, usualRemaining: meanRemaining(usual), slowdown: this.slowdown };
  }

  /** Returns what is remembered of a request that is sent to an upstream now. */
  pendingRequest(stats: UpstreamStats, cost: CostEstimate, now: Instant): PendingRequest {
    const costs = this.ofService();
    const load = stats.expectedLoad(now, costs.usual.expectedMs);
    const { wait } = expectedWork(stats, cost, costs, load, now);
    return { startedAt: now, cost, wait, occupancy: (load + 1) / stats.upstream.slots };
  }

  /** Learns the cost of a request in flight from the time to its answer. */
  record(
    stats: UpstreamStats,
    requestId: string,
    features: CostFeatures,
    latency: Millis,
    now: Instant,
  ): void {
    const pending = stats.work.get(requestId);
    if (!pending) return;
    const { cost, wait, occupancy } = pending;
    const isQueued = occupancy > 1;
    const run = isQueued ? Math.max(latency - wait, MIN_RUN_RATIO * latency) : latency;
    const slowdown = this.slowdown.ratio(Math.min(1, occupancy));
    if (!isQueued) {
      const logRatio = Math.log(Math.max(1, run)) - cost.meanLog;
      stats.speed.learn(logRatio - Math.log(slowdown));
      this.slowdown.learn(occupancy, logRatio - Math.log(stats.speed.ratio));
    }
    const work = run / stats.speed.ratio / slowdown;
    this.model.learn(features, work, isQueued ? QUEUED_RELIABILITY : 1, now);
  }
}
