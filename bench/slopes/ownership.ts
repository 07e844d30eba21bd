import { addressesFor, allShards, Ownership, shardsOf } from '../../src/core';

import { heapOf, microsOf, quantile, range, type Slope } from './measure';
import { inventoryOf, memberAt } from './samples';

/** Nodes, shards. */
const FLEETS = [
  [150, 106],
  [300, 212],
  [600, 425],
] as const;
const COPIES = 10;
const WORKSPACES = 10_000;
const SERVICE_SIZES = [34, 68, 136];

const shardIds = (count: number): readonly string[] => range(count).map((i) => `service-${i}/0`);

const started = (nodes: number, shards: number): Ownership => {
  const ownership = new Ownership();
  ownership.update(shardIds(shards), range(nodes).map(memberAt));
  return ownership;
};

const updateMicros = (nodes: number, shards: number): number => {
  const ownership = started(nodes, shards);
  const ids = shardIds(shards);
  const all = range(nodes).map(memberAt);
  return microsOf((i) => {
    const away = Math.floor(i / 2) % nodes;
    ownership.update(ids, i % 2 === 0 ? all.filter((_, place) => place !== away) : all);
  }, 200);
};

/** Shards that change owner when one member leaves. */
const moved = (nodes: number, shards: number): number => {
  const ids = shardIds(shards);
  const all = range(nodes).map(memberAt);
  const ownership = started(nodes, shards);
  const before = ids.map((id) => ownership.ownersOf(id)[0]?.address);
  const trials = range(Math.min(nodes, 150)).map((away) => {
    ownership.update(
      ids,
      all.filter((_, place) => place !== away),
    );
    const after = ids.map((id) => ownership.ownersOf(id)[0]?.address);
    return after.filter((owner, i) => owner !== before[i]).length;
  });
  return trials.reduce((sum, count) => sum + count, 0) / trials.length;
};

/** Upstreams that change shard when one of their service leaves. */
const movedUpstreams = (size: number): number => {
  const inventory = inventoryOf(6800);
  const upstreams = inventory.all().slice(0, size);
  const service = 'large';
  const large = inventory.withChanges(
    upstreams.map((upstream) => ({ ...upstream, service })),
    [],
  );
  const shardOf = (of: typeof large): ReadonlyMap<string, string> =>
    new Map(
      shardsOf(of, service).flatMap(({ id, upstreams: all }) =>
        all.map((upstream) => [upstream.id, id] as const),
      ),
    );
  const before = shardOf(large);
  const counts = upstreams.slice(0, 34).map(({ id }) => {
    const after = shardOf(large.withChanges([], [id]));
    return [...after].filter(([other, shard]) => before.get(other) !== shard).length;
  });
  return counts.reduce((sum, count) => sum + count, 0) / counts.length;
};

const answerMicros = (nodes: number, shards: number): number => {
  const ownership = started(nodes, shards);
  const members = range(nodes).map(memberAt);
  const owners = shardIds(3).map((id) => ownership.ownersOf(id));
  return microsOf((i) => addressesFor({ owners, members, workspace: `workspace-${i}` }), 2000);
};

/** Most shards that one node owns. */
const mostOwned = (nodes: number, shards: number): number => {
  const ownership = started(nodes, shards);
  const counts = new Map<string, number>();
  shardIds(shards).forEach((id) => {
    const owner = ownership.ownersOf(id)[0]?.address ?? '';
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  });
  return quantile([...counts.values()], 1);
};

/** Share of the workspaces that are sent first to the node that most are sent to. */
const busiestFirst = (shards: number): number => {
  const ownership = started(48, 6);
  const members = range(48).map(memberAt);
  const owners = shardIds(shards).map((id) => ownership.ownersOf(id));
  const firsts = new Map<string, number>();
  range(WORKSPACES).forEach((i) => {
    const [first] = addressesFor({ owners, members, workspace: `workspace-${i}` });
    const name = first?.address ?? '';
    firsts.set(name, (firsts.get(name) ?? 0) + 1);
  });
  return quantile([...firsts.values()], 1) / WORKSPACES;
};

const overShards = (
  what: string,
  unit: string,
  measure: (nodes: number, shards: number) => number,
): Slope => ({
  role: 'owner',
  what,
  unit,
  per: 'shards (1.41 nodes each)',
  points: FLEETS.map(([nodes, shards]) => [shards, measure(nodes, shards)]),
});

export const ownershipSlopes = (): readonly Slope[] => [
  overShards('owners after one member change', 'us', updateMicros),
  overShards(
    'table of owners',
    'B',
    (nodes, shards) => heapOf(() => range(COPIES).map(() => started(nodes, shards))) / COPIES,
  ),
  overShards('shards moved when one member leaves', 'shards', moved),
  overShards('most shards at one node', 'shards', mostOwned),
  overShards('answer to which address', 'us', answerMicros),
  {
    role: 'owner',
    what: 'workspaces sent first to the busiest node',
    unit: 'share',
    per: 'shards of the service',
    points: [1, 2, 4].map((shards) => [shards, busiestFirst(shards)]),
  },
  {
    role: 'owner',
    what: 'all shards from the inventory',
    unit: 'us',
    per: 'upstreams',
    points: [1700, 3400, 6800].map((size) => {
      const inventory = inventoryOf(size);
      return [size, microsOf(() => allShards(inventory), 3)];
    }),
  },
  {
    role: 'owner',
    what: 'upstreams moved when one leaves the service',
    unit: 'upstreams',
    per: 'upstreams of a service',
    points: SERVICE_SIZES.map((size) => [size, movedUpstreams(size)]),
  },
];
