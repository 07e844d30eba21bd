import type { GatewayConfig, GatewayRoute, ServiceName } from '../../model';

/** A port at the end of a host; the colons of an IPv6 address stand in brackets before it. */
const PORT_PATTERN = /:\d*$/;

const byLongestPrefix = (a: GatewayRoute, b: GatewayRoute): number =>
  b.pathPrefix.length - a.pathPrefix.length;

/** Finds the routes of one configuration by host name and longest path prefix. */
export class HostRoutes {
  private readonly hosts: ReadonlyMap<string, readonly GatewayRoute[]>;

  constructor(readonly config: GatewayConfig) {
    this.hosts = new Map(
      [...config.hosts].map(([host, routes]) => [host, [...routes].sort(byLongestPrefix)]),
    );
  }

  /** Returns the matching route, if any. `host` may include a port, and `path` a query. */
  find(host: string, path: string): GatewayRoute | undefined {
    const name = host.replace(PORT_PATTERN, '').toLowerCase();
    return this.hosts.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}

/**
 * Distributes a route's requests over its targets by smooth weighted round robin: the next target
 * is the one furthest behind its weight, so that each gets its share of any long sequence.
 */
export class WeightedRoundRobin {
  /** Credit of each target, by route name and weights, in the order of the targets. */
  private readonly creditsByRoute = new Map<string, number[]>();

  /** Returns the service that gets the route's next request; empty if the route has no targets. */
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

  /** Clears all credits, such as after a change of the configuration. */
  clear(): void {
    this.creditsByRoute.clear();
  }
}
