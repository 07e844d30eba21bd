import type { DataCentre, Inventory, ServiceName, ShardId, Upstream } from '../model';

import { hashOf, pairHash } from './hash';

/** The part of a service's upstreams that one owner dispatches to. */
export interface Shard {
  readonly id: ShardId;
  readonly service: ServiceName;
  readonly index: number;
  /** By asset id. */
  readonly upstreams: readonly Upstream[];
}

const UPSTREAMS_PER_SHARD = 16;

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

interface Choice {
  readonly upstream: Upstream;
  readonly shard: number;
  readonly weight: number;
}

const choicesOf = (group: readonly Upstream[], shardHashes: readonly number[]): Choice[] =>
  group.flatMap((upstream) => {
    const hash = hashOf(upstream.id);
    return shardHashes.map((shardHash, shard) => ({
      upstream,
      shard,
      weight: pairHash(shardHash, hash),
    }));
  });

/** Deals one data centre's upstreams out, the strongest rendezvous weights first. */
const distribute = (
  group: readonly Upstream[],
  hashes: readonly number[],
  into: Upstream[][],
): void => {
  const room = hashes.map(() => Math.ceil(group.length / hashes.length));
  const placed = new Set<Upstream>();
  const choices = choicesOf(group, hashes);
  choices.sort((a, b) => b.weight - a.weight || byId(a.upstream, b.upstream));
  choices.forEach(({ upstream, shard }) => {
    const left = room[shard] ?? 0;
    if (left === 0 || placed.has(upstream)) return;
    room[shard] = left - 1;
    placed.add(upstream);
    into[shard]?.push(upstream);
  });
};

/**
 * The shards of a service, in order of index: about 16 upstreams each, every data centre's dealt
 * out evenly, so that the loss of one takes a like part of every shard.
 */
export const shardsOf = (inventory: Inventory, service: ServiceName): readonly Shard[] => {
  const upstreams = inventory.ofService(service);
  const count = Math.ceil(upstreams.length / UPSTREAMS_PER_SHARD);
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

/** The shards of every service. */
export const allShards = (inventory: Inventory): readonly Shard[] =>
  inventory.serviceNames.flatMap((service) => shardsOf(inventory, service));
