import { expect } from 'earl';
import { describe, it } from 'node:test';

import { allShards, Ownership, shardsOf } from '../../src/core';
import { Inventory, type Member, type MemberState, type Upstream } from '../../src/model';

const CENTRES = ['takoradi', 'sekondi', 'tarkwa'];
const range = (count: number): readonly number[] => Array.from({ length: count }, (_, i) => i);

const upstreams = (service: string, count: number): readonly Upstream[] =>
  range(count).map((i) => ({
    id: `${service}-${i}`,
    service,
    dataCentre: CENTRES[i % 3] ?? '',
    address: '127.0.0.1',
    port: 1000 + i,
    slots: 6,
    connections: 350,
  }));

const member = (i: number, state: MemberState = 'alive'): Member => ({
  incarnation: `run-${i}`,
  dataCentre: CENTRES[i % 3] ?? '',
  address: `10.0.${i >> 8}.${i & 255}`,
  callerPort: 80,
  peerPort: 81,
  state,
});

const fleetInventory = Inventory.from([
  ...upstreams('fares', 10),
  ...upstreams('bookings', 20),
  ...upstreams('archives', 5),
  ...upstreams('seats', 5),
]);

const ownerMap = (ids: readonly string[], members: readonly Member[]) => {
  const ownership = new Ownership();
  ownership.update(ids, members);
  return new Map(ids.map((id) => [id, ownership.ownersOf(id)]));
};

describe('shardsOf', () => {
  it('puts every upstream in one shard of about 16, with each data centre spread evenly', () => {
    const shards = shardsOf(Inventory.from(upstreams('large', 100)), 'large');
    const placed = shards.flatMap((shard) => shard.upstreams.map(({ id }) => id));
    expect(new Set(placed).size).toEqual(100);
    expect(placed.length).toEqual(100);
    shards.forEach((shard) => {
      expect(shard.upstreams.length >= 10 && shard.upstreams.length <= 18).toEqual(true);
      CENTRES.forEach((centre) => {
        const local = shard.upstreams.filter(({ dataCentre }) => dataCentre === centre);
        expect(local.length >= 2 && local.length <= 6).toEqual(true);
      });
    });
  });

  it('moves at most 6 of 100 upstreams when one is removed', () => {
    const before = Inventory.from(upstreams('large', 100));
    const after = before.withChanges([], ['large-37']);
    const shardOf = (inventory: Inventory) =>
      new Map(
        shardsOf(inventory, 'large').flatMap(({ id, upstreams: all }) =>
          all.map((upstream) => [upstream.id, id]),
        ),
      );
    const old = shardOf(before);
    const moved = [...shardOf(after)].filter(([id, shard]) => old.get(id) !== shard);
    expect(moved.length <= 6).toEqual(true);
  });
});

describe('Ownership', () => {
  const ids = allShards(fleetInventory).map(({ id }) => id);

  it('assigns the shards to distinct hosts, with a standby in another data centre', () => {
    range(20).forEach((fleet) => {
      const members = range(48).map((i) => member(fleet * 48 + i));
      const owners = ownerMap(ids, members);
      const first = [...owners.values()].map(([owner]) => owner?.address);
      expect(new Set(first).size).toEqual(ids.length);
      owners.forEach(([owner, standby]) => {
        expect(owner?.dataCentre === standby?.dataCentre).toEqual(false);
      });
    });
  });

  it('assigns no shard to leaving or dead members, but does to suspect ones', () => {
    const members = range(6).map((i) =>
      member(i, (['leaving', 'dead', 'suspect'] as const)[i % 3]),
    );
    const owners = [...ownerMap(ids, members).values()].flat();
    expect(owners.every(({ state }) => state === 'suspect')).toEqual(true);
  });

  it('assigns the same owners after any history of joins and leaves', () => {
    const manyIds = range(60).map((i) => `service-${i}/0`);
    const ownership = new Ownership();
    for (let step = 0; step < 200; step++) {
      const present = range(40)
        .filter((i) => (i * 7919 + step * (i + 1) * 31) % 11 > 3)
        .map((i) => member(i));
      ownership.update(manyIds, present);
      const fresh = ownerMap(manyIds, present);
      manyIds.forEach((id) => {
        const addresses = ownership.ownersOf(id).map(({ address }) => address);
        expect(addresses).toEqual((fresh.get(id) ?? []).map(({ address }) => address));
      });
    }
  });
});
