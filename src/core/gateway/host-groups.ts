import {
  MILLIS_PER_SECOND,
  type GatewayConfig,
  type RequestsPerSecond,
  type ServiceName,
} from '../../model';

/** A group of host names whose callers are sent to the same gateways. */
export interface HostGroup {
  /** Largest service that the host names lead to, or the host name itself if it has no routes. */
  readonly name: ServiceName;
  /** Requests per second expected at all host names of the group together. */
  readonly demand: RequestsPerSecond;
}

/**
 * Ratio of a service's expected requests per second to its capacity, which is its slots over its
 * routes' shortest objective in seconds. Services differ from this estimate; gateways are planned
 * with spare capacity for the difference.
 */
const DEMAND_TO_CAPACITY_RATIO = 1.5;

/**
 * Groups host names by the largest service that they lead to, so that a few gateways see all
 * requests to an upstream. Load pattern: every host name has routes to the same few services, and
 * owners chosen by host name would spread one upstream's evidence and load over most of the fleet.
 */
export class HostGroups {
  private readonly groupByHost = new Map<string, ServiceName>();

  /** Requests per second by group name. */
  private readonly demand = new Map<ServiceName, RequestsPerSecond>();

  private readonly groupsByService = new Map<ServiceName, Set<ServiceName>>();

  /** `slotsOf` returns the number of slots of all upstreams of a service. */
  constructor(config: GatewayConfig, slotsOf: (service: ServiceName) => number) {
    const objectives = new Map<ServiceName, number>();
    config.hosts.forEach((routes, host) => {
      const services = new Set<ServiceName>();
      routes.forEach(({ targets, latencyObjective: objective }) =>
        targets.forEach(({ service }) => {
          services.add(service);
          const shortest = objectives.get(service) ?? objective;
          objectives.set(service, Math.min(shortest, objective));
        }),
      );
      const [largest] = [...services].sort((a, b) => slotsOf(b) - slotsOf(a) || (a < b ? -1 : 1));
      if (largest === undefined) return;
      this.groupByHost.set(host, largest);
      services.forEach((service) => {
        const groups = this.groupsByService.get(service) ?? new Set();
        this.groupsByService.set(service, groups.add(largest));
      });
    });
    this.groupsByService.forEach((groups, service) => {
      const objective = Math.max(1, objectives.get(service) ?? 1);
      const requestRate =
        (DEMAND_TO_CAPACITY_RATIO * slotsOf(service) * MILLIS_PER_SECOND) / objective;
      groups.forEach((group) => {
        this.demand.set(group, (this.demand.get(group) ?? 0) + requestRate / groups.size);
      });
    });
  }

  /** Returns the group of a host name in lower case; one without routes is a group of its own. */
  ofHost(host: string): HostGroup {
    return this.groupNamed(this.groupByHost.get(host) ?? host);
  }

  /** Returns the groups with routes to a service. */
  ofService(service: ServiceName): readonly HostGroup[] {
    return [...(this.groupsByService.get(service) ?? [])].map((name) => this.groupNamed(name));
  }

  private groupNamed(name: ServiceName): HostGroup {
    return { name, demand: this.demand.get(name) ?? 0 };
  }
}
