import type { GatewayConfig, GatewayRoute, ServiceName } from '../../model';

const byLongestPrefix = (a: GatewayRoute, b: GatewayRoute): number =>
  b.pathPrefix.length - a.pathPrefix.length;

/** The routes of one configuration, found by host name and longest path prefix. */
export class HostRoutes {
  private readonly hosts: ReadonlyMap<string, readonly GatewayRoute[]>;

  constructor(readonly config: GatewayConfig) {
    this.hosts = new Map(
      [...config.hosts].map(([host, routes]) => [host, [...routes].sort(byLongestPrefix)]),
    );
  }

  /** `host` may carry a port; `path` may carry a query. */
  find(host: string, path: string): GatewayRoute | undefined {
    const colon = host.lastIndexOf(':');
    const name = (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
    return this.hosts.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}

/**
 * Deals a route's requests to its targets so that each has its share of any long run: the target
 * that is furthest behind its weight is next.
 */
export class WeightedRoundRobin {
  private readonly creditsByRoute = new Map<string, number[]>();

  next(route: GatewayRoute): ServiceName {
    const { targets } = route;
    const [only] = targets;
    if (targets.length <= 1) return only?.service ?? '';
    const key = `${route.name} ${targets.map((t) => `${t.service}=${t.weight}`).join(' ')}`;
    const credit = this.creditsByRoute.get(key) ?? targets.map(() => 0);
    this.creditsByRoute.set(key, credit);
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    targets.forEach(({ weight }, i) => {
      credit[i] = (credit[i] ?? 0) + weight;
    });
    const best = credit.indexOf(Math.max(...credit));
    credit[best] = (credit[best] ?? 0) - total;
    return targets[best]?.service ?? '';
  }

  /** Forgets the counts of routes that are no longer in force. */
  clear(): void {
    this.creditsByRoute.clear();
  }
}
