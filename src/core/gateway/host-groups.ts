import { MILLIS_PER_SECOND, type GatewayConfig, type ServiceName } from '../../model';

import type { Rate } from './owners';

/** Host names that the same gateways own. */
export interface HostGroup {
  /** The service that the group is named after. */
  readonly name: ServiceName;
  /** Requests a second that callers may send to its host names in all. */
  readonly demand: Rate;
}

/**
 * What a service is asked for, in parts of its slots over its routes' shortest objective; 0.8 to 2.2
 * over the services of the users' sites, whose hosts are planned half full.
 */
const DEMAND_FACTOR = 1.5;

/**
 * Groups host names by the largest service that they lead to, so that few gateways see all that
 * happens at an upstream. Load pattern: every host name has routes to the same few services, and
 * owners by host name would spread one upstream's evidence and load over most of the fleet.
 */
export class HostGroups {
  private readonly byHost = new Map<string, ServiceName>();

  private readonly demand = new Map<ServiceName, Rate>();

  private readonly byService = new Map<ServiceName, Set<ServiceName>>();

  /** `slotsOf`: the slots of a service's upstreams. */
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
      this.byHost.set(host, largest);
      services.forEach((service) => {
        const groups = this.byService.get(service) ?? new Set();
        this.byService.set(service, groups.add(largest));
      });
    });
    this.byService.forEach((groups, service) => {
      const objective = Math.max(1, objectives.get(service) ?? 1);
      const asked = (DEMAND_FACTOR * slotsOf(service) * MILLIS_PER_SECOND) / objective;
      groups.forEach((group) => {
        this.demand.set(group, (this.demand.get(group) ?? 0) + asked / groups.size);
      });
    });
  }

  /** The group of a host name in lower case; one that has no routes is a group of its own. */
  ofHost(host: string): HostGroup {
    return this.named(this.byHost.get(host) ?? host);
  }

  /** The groups with routes to a service. */
  ofService(service: ServiceName): readonly HostGroup[] {
    return [...(this.byService.get(service) ?? [])].map((name) => this.named(name));
  }

  private named(name: ServiceName): HostGroup {
    return { name, demand: this.demand.get(name) ?? 0 };
  }
}
