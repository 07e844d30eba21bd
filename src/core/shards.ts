import type { DataCentre, Inventory, ServiceName, ShardId, Upstream } from '../model';

import { hashOf, pairHash } from './hash';

/** A group of a service's upstreams that one owner node dispatches to. */
export interface Shard {
  readonly id: ShardId;
  readonly service: ServiceName;
  readonly index: number;
  /** Sorted by id. */
  readonly upstreams: readonly Upstream[];
}

/** Maximum average number of upstreams in a shard of a service. */
const SHARD_UPSTREAM_COUNT = 16;

const byId = (a: Upstream, b: Upstream): number => {
  if (a.id === b.id) return 0;
  return a.id < b.id ? -1 : 1;
};

export const shardId = (service: ServiceName, index: number): ShardId => `${service}/${index}`;

const perDataCentre = (upstreams: readonly Upstream[]): ReadonlyMap<DataCentre, Upstream[]> => {
  const groups = new Map<DataCentre, Upstream[]>();
  upstreams.forEach((upstream) => {
    const group = groups.get(upstream.dataCentre);
    if (group) group.push(upstream);
    else groups.set(upstream.dataCentre, [upstream]);
  });
  return groups;
};

interface ShardCandidate {
  readonly upstream: Upstream;
  readonly shard: number;
  readonly weight: number;
}

const shardCandidates = (
  group: readonly Upstream[],
  shardHashes: readonly number[],
): ShardCandidate[] =>
  group.flatMap((upstream) => {
    const hash = hashOf(upstream.id);
    return shardHashes.map((shardHash, shard) => ({
      upstream,
      shard,
      weight: pairHash(shardHash, hash),
    }));
  });

/** Distributes one data centre's upstreams evenly, the highest rendezvous weights first. */
const distribute = (
  group: readonly Upstream[],
  hashes: readonly number[],
  shards: Upstream[][],
): void => {
  const remaining = hashes.map(() => Math.ceil(group.length / hashes.length));
  const placed = new Set<Upstream>();
  const candidates = shardCandidates(group, hashes);
  candidates.sort((a, b) => b.weight - a.weight || byId(a.upstream, b.upstream));
  candidates.forEach(({ upstream, shard }) => {
    const free = remaining[shard] ?? 0;
    if (free === 0 || placed.has(upstream)) return;
    remaining[shard] = free - 1;
    placed.add(upstream);
    shards[shard]?.push(upstream);
  });
};

/**
 * Returns the shards of a service in order of index, with about 16 upstreams each. Upstreams of
 * each data centre are spread evenly, so that the loss of one affects all shards about equally.
 */
export const shardsOf = (inventory: Inventory, service: ServiceName): readonly Shard[] => {
  const upstreams = inventory.ofService(service);
  const count = Math.ceil(upstreams.length / SHARD_UPSTREAM_COUNT);
  const ids = Array.from({ length: count }, (_, index) => shardId(service, index));
  const hashes = ids.map(hashOf);
  const parts: Upstream[][] = ids.map(() => []);
  perDataCentre(upstreams).forEach((group) => distribute(group, hashes, parts));
  return ids.map((id, index) => ({
    id,
    service,
    index,
    upstreams: [...(parts[index] ?? [])].sort(byId),
  }));
};

/** Returns the shards of all services. */
export const allShards = (inventory: Inventory): readonly Shard[] =>
  inventory.serviceNames.flatMap((service) => shardsOf(inventory, service));
