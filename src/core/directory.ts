import type { Maybe } from 'purify-ts';

import type {
  Config,
  Incarnation,
  Member,
  Route,
  ServiceName,
  ServiceRules,
  ShardId,
  Upstream,
  UpstreamId,
  WorkspaceName,
} from '../model';
import { defaultServiceRules, EMPTY_CONFIG } from '../model';

import { Ownership } from './ownership';
import { RouteTable } from './routing';
import { shardsOf, type Shard } from './shards';

/** Weight of a workspace that the rules don't list. */
const DEFAULT_WEIGHT = 1;

/** Maps routes to services, services to shards and shards to owners, as known to one node. */
export class Directory {
  private readonly routes = new RouteTable();

  private readonly ownership = new Ownership();

  private shardsByService: ReadonlyMap<ServiceName, readonly Shard[]> = new Map();

  private shardsById: ReadonlyMap<ShardId, Shard> = new Map();

  private rulesByService: ReadonlyMap<ServiceName, ServiceRules> = new Map();

  private byIncarnation: ReadonlyMap<Incarnation, Member> = new Map();

  private config: Config = EMPTY_CONFIG;

  private memberList: readonly Member[] = [];

  /** Replaces the configuration. Shards of services with unchanged upstreams are reused. */
  updateConfig(config: Config): void {
    const { inventory, rules } = config;
    if (inventory !== this.config.inventory) this.updateShards(config);
    this.routes.update(rules);
    this.rulesByService = new Map(rules.services.map((service) => [service.name, service]));
    this.config = config;
  }

  /** Replaces the known members, which include this node. */
  updateMembers(members: readonly Member[]): void {
    this.memberList = members;
    this.byIncarnation = new Map(members.map((member) => [member.incarnation, member]));
    this.ownership.update([...this.shardsById.keys()], members);
  }

  get members(): readonly Member[] {
    return this.memberList;
  }

  get version(): number {
    return this.config.version;
  }

  route(method: string, path: string, workspace: WorkspaceName): Maybe<Route> {
    return this.routes.find(method, path, workspace);
  }

  weightOf(workspace: WorkspaceName): number {
    return this.routes
      .workspace(workspace)
      .map(({ weight }) => weight)
      .orDefault(DEFAULT_WEIGHT);
  }

  rulesOf(service: ServiceName): ServiceRules {
    return this.rulesByService.get(service) ?? defaultServiceRules(service);
  }

  shardsOf(service: ServiceName): readonly Shard[] {
    return this.shardsByService.get(service) ?? [];
  }

  shard(id: ShardId): Shard | undefined {
    return this.shardsById.get(id);
  }

  get shards(): readonly Shard[] {
    return [...this.shardsById.values()];
  }

  upstream(id: UpstreamId): Upstream | undefined {
    return this.config.inventory.get(id);
  }

  /** Returns the owner first, then the standbys; empty for an unknown shard. */
  ownersOf(id: ShardId): readonly Member[] {
    return this.ownership.ownersOf(id);
  }

  member(incarnation: Incarnation): Member | undefined {
    return this.byIncarnation.get(incarnation);
  }

  private updateShards({ inventory }: Config): void {
    const before = this.config.inventory;
    const known = this.shardsByService;
    const unchanged = (service: ServiceName): boolean => {
      const [a, b] = [before.ofService(service), inventory.ofService(service)];
      return a.length === b.length && a.every((upstream, i) => upstream === b[i]);
    };
    const shards = inventory.serviceNames.map(
      (service) =>
        [
          service,
          (unchanged(service) ? known.get(service) : undefined) ?? shardsOf(inventory, service),
        ] as const,
    );
    this.shardsByService = new Map(shards);
    this.shardsById = new Map(
      shards.flatMap(([, list]) => list.map((shard) => [shard.id, shard] as const)),
    );
    this.ownership.update([...this.shardsById.keys()], this.memberList);
  }
}
