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

/** Maximum number of steps by which the start of a sequence is drawn. */
const MAX_PHASE_STEPS = 256;

const gcd = (a: number, b: number): number => (b === 0 ? a : gcd(b, a % b));

/** Returns after how many steps a sequence with these weights repeats, if that is not too long. */
const periodOf = (weights: readonly number[]): number => {
  if (!weights.every(Number.isSafeInteger)) return MAX_PHASE_STEPS;
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return Math.min(MAX_PHASE_STEPS, total / weights.reduce(gcd));
};

/** Identifies a split by its route and weights. */
const splitKeyOf = ({ name, targets }: GatewayRoute): string =>
  `${name} ${targets.map(({ service, weight }) => `${service}=${weight}`).join(' ')}`;

/** Returns the index of the next target, and the credits after it. */
const stepOf = (
  credits: readonly number[],
  weights: readonly number[],
): { readonly index: number; readonly credits: readonly number[] } => {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const earned = weights.map((weight, i) => (credits[i] ?? 0) + weight);
  const index = earned.indexOf(Math.max(...earned));
  return { index, credits: earned.map((credit, i) => (i === index ? credit - total : credit)) };
};

/**
 * Distributes a route's requests over its targets by smooth weighted round robin: the next target
 * is the one furthest behind its weight, so that each gets its share of any long sequence. It starts
 * at a random step. Load pattern: many hosts with few requests each; if all started with the largest
 * target, that one would get most of what they carry together.
 */
export class WeightedRoundRobin {
  /** Credit of each target, by route name and weights, in the order of the targets. */
  private readonly creditsBySplit = new Map<string, readonly number[]>();

  /** `random` returns a number from 0 (inclusive) to 1 (exclusive). */
  constructor(private readonly random: () => number) {}

  /** Returns the service that gets the route's next request; empty if the route has no targets. */
  next(route: GatewayRoute): ServiceName {
    const { targets } = route;
    const [only] = targets;
    if (targets.length <= 1) return only?.service ?? '';
    const weights = targets.map(({ weight }) => weight);
    const key = splitKeyOf(route);
    const { index, credits } = stepOf(
      this.creditsBySplit.get(key) ?? this.startOf(weights),
      weights,
    );
    this.creditsBySplit.set(key, credits);
    return targets[index]?.service ?? '';
  }

  /** Forgets the splits that are not among these routes; the others go on from where they are. */
  retain(routes: Iterable<GatewayRoute>): void {
    const kept = new Set([...routes].map(splitKeyOf));
    [...this.creditsBySplit.keys()]
      .filter((key) => !kept.has(key))
      .forEach((key) => this.creditsBySplit.delete(key));
  }

  /** Returns the credits at a random step. */
  private startOf(weights: readonly number[]): readonly number[] {
    let credits: readonly number[] = weights.map(() => 0);
    const steps = Math.floor(this.random() * periodOf(weights));
    for (let i = 0; i < steps; i++) ({ credits } = stepOf(credits, weights));
    return credits;
  }
}
