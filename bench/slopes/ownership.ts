import { addressesFor, allShards, Ownership, shardsOf } from '../../src/core';

import { retainedBytes, medianMicros, quantile, range, type Slope } from './measure';
import { inventoryOf, memberAt } from './samples';

/** Counts of nodes and of shards. */
const FLEET_SIZES = [
  [150, 106],
  [300, 212],
  [600, 425],
] as const;
/** Copies whose memory is averaged. */
const COPY_COUNT = 10;
const WORKSPACE_COUNT = 10_000;
/** Counts of a service's upstreams. */
const SERVICE_SIZES = [34, 68, 136];

const shardIds = (count: number): readonly string[] => range(count).map((i) => `service-${i}/0`);

const ownershipOf = (nodes: number, shards: number): Ownership => {
  const ownership = new Ownership();
  ownership.update(shardIds(shards), range(nodes).map(memberAt));
  return ownership;
};

/** Returns the time of an update in which one member leaves or comes back. */
const updateMicros = (nodes: number, shards: number): number => {
  const ownership = ownershipOf(nodes, shards);
  const ids = shardIds(shards);
  const all = range(nodes).map(memberAt);
  return medianMicros((i) => {
    const leaving = Math.floor(i / 2) % nodes;
    ownership.update(ids, i % 2 === 0 ? all.filter((_, index) => index !== leaving) : all);
  }, 200);
};

/** Returns the mean number of shards whose owner changes when one member leaves. */
const meanMovedShards = (nodes: number, shards: number): number => {
  const ids = shardIds(shards);
  const all = range(nodes).map(memberAt);
  const ownership = ownershipOf(nodes, shards);
  const before = ids.map((id) => ownership.ownersOf(id)[0]?.address);
  const trials = range(Math.min(nodes, 150)).map((leaving) => {
    ownership.update(
      ids,
      all.filter((_, index) => index !== leaving),
    );
    const after = ids.map((id) => ownership.ownersOf(id)[0]?.address);
    return after.filter((owner, i) => owner !== before[i]).length;
  });
  return trials.reduce((sum, count) => sum + count, 0) / trials.length;
};

/** Returns the mean number of upstreams whose shard changes when one of their service leaves. */
const meanMovedUpstreams = (size: number): number => {
  const inventory = inventoryOf(6800);
  const upstreams = inventory.all().slice(0, size);
  const service = 'large';
  const large = inventory.withChanges(
    upstreams.map((upstream) => ({ ...upstream, service })),
    [],
  );
  const shardByUpstream = (inventoryAfter: typeof large): ReadonlyMap<string, string> =>
    new Map(
      shardsOf(inventoryAfter, service).flatMap(({ id, upstreams: all }) =>
        all.map((upstream) => [upstream.id, id] as const),
      ),
    );
  const before = shardByUpstream(large);
  const counts = upstreams.slice(0, 34).map(({ id }) => {
    const after = shardByUpstream(large.withChanges([], [id]));
    return [...after].filter(([other, shard]) => before.get(other) !== shard).length;
  });
  return counts.reduce((sum, count) => sum + count, 0) / counts.length;
};

/** Returns the time to compute the addresses of one workspace for a service of three shards. */
const addressesMicros = (nodes: number, shards: number): number => {
  const ownership = ownershipOf(nodes, shards);
  const members = range(nodes).map(memberAt);
  const owners = shardIds(3).map((id) => ownership.ownersOf(id));
  return medianMicros((i) => addressesFor({ owners, members, workspace: `workspace-${i}` }), 2000);
};

/** Returns the number of shards of the node that owns the most. */
const maxOwnedShards = (nodes: number, shards: number): number => {
  const ownership = ownershipOf(nodes, shards);
  const counts = new Map<string, number>();
  shardIds(shards).forEach((id) => {
    const owner = ownership.ownersOf(id)[0]?.address ?? '';
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  });
  return quantile([...counts.values()], 1);
};

/** Returns the largest share of the workspaces, 0 to 1, that have the same first address. */
const busiestFirstAddressShare = (shards: number): number => {
  const ownership = ownershipOf(48, 6);
  const members = range(48).map(memberAt);
  const owners = shardIds(shards).map((id) => ownership.ownersOf(id));
  const firstAddressCounts = new Map<string, number>();
  range(WORKSPACE_COUNT).forEach((i) => {
    const [first] = addressesFor({ owners, members, workspace: `workspace-${i}` });
    const name = first?.address ?? '';
    firstAddressCounts.set(name, (firstAddressCounts.get(name) ?? 0) + 1);
  });
  return quantile([...firstAddressCounts.values()], 1) / WORKSPACE_COUNT;
};

/** Measures one cost at several counts of shards. */
const overShards = (
  what: string,
  unit: string,
  measure: (nodes: number, shards: number) => number,
): Slope => ({
  role: 'owner',
  what,
  unit,
  per: 'shards (1.41 nodes each)',
  points: FLEET_SIZES.map(([nodes, shards]) => [shards, measure(nodes, shards)]),
});

/** Measures the assignment of shards to owners, and of upstreams to shards. */
export const ownershipSlopes = (): readonly Slope[] => [
  overShards('owners after one member change', 'us', updateMicros),
  overShards(
    'table of owners',
    'B',
    (nodes, shards) =>
      retainedBytes(() => range(COPY_COUNT).map(() => ownershipOf(nodes, shards))) / COPY_COUNT,
  ),
  overShards('shards moved when one member leaves', 'shards', meanMovedShards),
  overShards('most shards at one node', 'shards', maxOwnedShards),
  overShards('answer to which address', 'us', addressesMicros),
  {
    role: 'owner',
    what: 'workspaces sent first to the busiest node',
    unit: 'share',
    per: 'shards of the service',
    points: [1, 2, 4].map((shards) => [shards, busiestFirstAddressShare(shards)]),
  },
  {
    role: 'owner',
    what: 'all shards from the inventory',
    unit: 'us',
    per: 'upstreams',
    points: [1700, 3400, 6800].map((size) => {
      const inventory = inventoryOf(size);
      return [size, medianMicros(() => allShards(inventory), 3)];
    }),
  },
  {
    role: 'owner',
    what: 'upstreams moved when one leaves the service',
    unit: 'upstreams',
    per: 'upstreams of a service',
    points: SERVICE_SIZES.map((size) => [size, meanMovedUpstreams(size)]),
  },
];
