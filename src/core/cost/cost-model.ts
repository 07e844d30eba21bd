import type { Instant, Millis } from '../../model';

import { ClassStats, type CostEstimate } from './class-stats';
import { ClassTable } from './class-table';
import { classKeysOf, type CostFeatures } from './request-class';

/** Estimate for a service without any answer: about 300 ms, within a factor of 2. */
const INITIAL_ESTIMATE: CostEstimate = {
  expectedMs: 300,
  meanLog: Math.log(300),
  dispersion: 0.7,
};
/** Largest number of routes that a model holds; services have at most some tens. */
const MAX_ROUTES = 256;

/** The estimate for a request, and the class that it is from. */
export interface RequestCost extends CostEstimate {
  readonly source: 'service' | 'route' | 'class';
}

/**
 * Learns the cost of a service's requests from their answers. A narrower class than the route is
 * used only where it has predicted costs measurably better than the route. Load patterns: requests
 * of one route whose cost differs by workspace, path or size, and routes with costs alike, whose
 * estimates must not scatter by chance.
 */
export class CostModel {
  private readonly service = new ClassStats();

  private readonly routes = new Map<string, ClassStats>();

  private readonly classes = new ClassTable();

  /** Number of classes narrower than a route. */
  get classCount(): number {
    return this.classes.size;
  }

  /** Returns the estimate for a request of unknown properties. */
  serviceEstimate(): CostEstimate {
    return this.service.estimate(INITIAL_ESTIMATE);
  }

  estimate(features: CostFeatures): RequestCost {
    const route = this.routes.get(features.route);
    const ofService = this.serviceEstimate();
    if (!route) return { ...ofService, source: 'service' };
    const ofRoute = route.estimate(ofService);
    let best: ClassStats | undefined;
    classKeysOf(features).narrower.forEach((key) => {
      const stats = this.classes.get(key);
      if (stats?.isBetter && stats.errorRatio < (best?.errorRatio ?? 1)) best = stats;
    });
    return best ? { ...best.estimate(ofRoute), source: 'class' } : { ...ofRoute, source: 'route' };
  }

  /** Learns the cost of a request; `reliability`, 0 to 1, is less than 1 where it is inferred. */
  learn(features: CostFeatures, cost: Millis, reliability: number, now: Instant): void {
    const ofService = this.serviceEstimate();
    const keys = classKeysOf(features);
    const route = this.routeStats(keys.route);
    const ofRoute = route.estimate(ofService);
    keys.narrower.forEach((key) =>
      this.classes.touch(key, now).learn(cost, reliability, ofRoute, now),
    );
    route.learn(cost, reliability, ofService, now);
    this.service.learn(cost, reliability, INITIAL_ESTIMATE, now);
  }

  private routeStats(name: string): ClassStats {
    const known = this.routes.get(name);
    if (known) return known;
    const created = new ClassStats();
    const [oldest] = this.routes.keys();
    if (this.routes.size >= MAX_ROUTES && oldest !== undefined) this.routes.delete(oldest);
    this.routes.set(name, created);
    return created;
  }
}
