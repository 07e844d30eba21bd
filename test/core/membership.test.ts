import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { decodeMembershipMessage, Membership, type MembershipMessage } from '../../src/core';
import type { MemberState, NodeIdentity } from '../../src/model';
import { MembershipFleet, type FakeNode } from '../fakes/membership-fleet';

const DATA_CENTRES = ['takoradi', 'sekondi', 'tarkwa'];
const NODE_COUNT = 9;

const startFleet = (): MembershipFleet => {
  const fleet = new MembershipFleet(7, DATA_CENTRES);
  for (let place = 0; place < NODE_COUNT; place++) fleet.start(place);
  fleet.runUntil(10_000);
  return fleet;
};

const stateOf = (observer: FakeNode | undefined, target: NodeIdentity): MemberState | 'unknown' =>
  observer?.membership.members().find(({ incarnation }) => incarnation === target.incarnation)
    ?.state ?? 'unknown';

const identityAt = (fleet: MembershipFleet, place: number): NodeIdentity => {
  const node = fleet.node(place);
  if (!node) throw new Error(`no node at ${place}`);
  return node.identity;
};

/** Returns the distinct states in which the other nodes hold `target`. */
const statesAt = (fleet: MembershipFleet, target: NodeIdentity): readonly string[] => {
  const others = fleet.runningNodes().filter(({ identity }) => identity !== target);
  return [...new Set(others.map((node) => stateOf(node, target)))];
};

describe('membership', () => {
  it('suspects no node during a one-way cut that helpers can bypass', () => {
    const fleet = startFleet();
    const suspected = new Set<string>();
    fleet.onChanged = ({ membership }) => {
      membership
        .members()
        .filter(({ state }) => state !== 'alive')
        .forEach(({ incarnation }) => suspected.add(incarnation));
    };
    fleet.cuts.add((from, to) => from === 0 && to >= 1 && to <= 3);
    fleet.runUntil(fleet.now + 60_000);
    expect([...suspected]).toEqual([]);
  });

  it('finds the others within half a second when all start at once after a power loss', () => {
    const fleet = startFleet();
    for (let place = 0; place < NODE_COUNT; place++) fleet.kill(place);
    const restartedAt = fleet.now;
    // Each node starts up to 200 ms after the first one.
    for (let place = 0; place < NODE_COUNT; place++) {
      fleet.runUntil(restartedAt + (200 * place) / (NODE_COUNT - 1));
      fleet.start(place);
    }
    fleet.runUntil(restartedAt + 700);
    const knownCounts = fleet
      .runningNodes()
      .map(
        ({ membership }) => membership.members().filter(({ state }) => state === 'alive').length,
      );
    expect(Math.min(...knownCounts)).toBeGreaterThanOrEqual(NODE_COUNT - 1);
  });

  it('holds a killed node dead on every other node within 3 seconds', () => {
    const fleet = startFleet();
    const killed = identityAt(fleet, 4);
    fleet.kill(4);
    fleet.runUntil(fleet.now + 3000);
    expect(statesAt(fleet, killed)).toEqual(['dead']);
  });

  // A probe is running when the process is paused, so that its answer is missed.
  it('suspects no node after a pause of its own process', () => {
    const fleet = startFleet();
    const { membership } = fleet.node(2) ?? fleet.start(2);
    const resumed = fleet.now + 30_000;
    const isPing = (at: number): boolean =>
      membership
        .apply({ kind: 'tick' }, at)
        .effects.some((effect) => effect.kind === 'send' && effect.message.kind === 'ping');
    let lastTickAt = fleet.now + 50;
    while (!isPing(lastTickAt)) lastTickAt += 50;
    membership.apply({ kind: 'tick' }, resumed);
    expect(membership.members().filter(({ state }) => state !== 'alive')).toEqual([]);
  });

  it('holds the old process dead and the new one alive after a restart at the same address', () => {
    const fleet = startFleet();
    const old = identityAt(fleet, 5);
    fleet.kill(5);
    fleet.start(5);
    fleet.runUntil(fleet.now + 3000);
    expect(statesAt(fleet, old)).toEqual(['dead']);
    expect(statesAt(fleet, identityAt(fleet, 5))).toEqual(['alive']);
  });

  it('tells the other nodes that it is leaving, and then that it has stopped', () => {
    const fleet = startFleet();
    const leaver = identityAt(fleet, 3);
    fleet.leave(3);
    fleet.runUntil(fleet.now + 1500);
    expect(statesAt(fleet, leaver)).toEqual(['leaving']);
    fleet.stop(3);
    fleet.runUntil(fleet.now + 1000);
    expect(statesAt(fleet, leaver)).toEqual(['dead']);
  });

  it('holds a host leaving when the host list changes to leaving, unless the host is new', () => {
    const fleet = startFleet();
    const { membership } = fleet.node(0) ?? fleet.start(0);
    const listed = (place: number, leaving: boolean) => ({ ...identityAt(fleet, place), leaving });
    const show = (leaving: boolean, at: number): void => {
      membership.apply({ kind: 'host-list', hosts: [listed(1, leaving)] }, at);
    };
    show(false, fleet.now);
    show(true, fleet.now + 1);
    expect(stateOf(fleet.node(0), identityAt(fleet, 1))).toEqual('alive');
    show(false, fleet.now + 70_000);
    show(true, fleet.now + 70_001);
    expect(stateOf(fleet.node(0), identityAt(fleet, 1))).toEqual('leaving');
  });

  it('probes a host next when it is removed from the host list', () => {
    const fleet = startFleet();
    const { membership } = fleet.node(0) ?? fleet.start(0);
    const hosts = fleet.runningNodes().map(({ identity }) => ({ ...identity, leaving: false }));
    membership.apply({ kind: 'host-list', hosts }, fleet.now);
    const rest = hosts.filter((_, place) => place !== 1);
    membership.apply({ kind: 'host-list', hosts: rest }, fleet.now);
    const { effects } = membership.apply({ kind: 'tick' }, fleet.now + 250);
    const pinged = effects.flatMap((effect) =>
      effect.kind === 'send' && effect.message.kind === 'ping' ? effect.message.to : [],
    );
    expect(pinged[0]).toEqual(identityAt(fleet, 1).incarnation);
  });

  it('holds all nodes alive again after a partition of three minutes has ended', () => {
    const fleet = startFleet();
    const cut = (from: number, to: number): boolean => from < 4 !== to < 4;
    fleet.cuts.add(cut);
    fleet.runUntil(fleet.now + 180_000);
    expect(stateOf(fleet.node(8), identityAt(fleet, 0))).toEqual('dead');
    fleet.cuts.delete(cut);
    fleet.runUntil(fleet.now + 20_000);
    fleet
      .runningNodes()
      .forEach(({ identity }) => expect(statesAt(fleet, identity)).toEqual(['alive']));
  });

  it('refutes an update that holds it dead', () => {
    const fleet = startFleet();
    const { membership, identity } = fleet.node(1) ?? fleet.start(1);
    const updates = [{ node: identity, state: 'dead', refutation: 3 }] as const;
    membership.apply({ kind: 'message', message: { kind: 'gossip', from: 'x', updates } }, 10_000);
    const { effects } = membership.apply({ kind: 'tick' }, 10_001);
    const gossiped = effects.flatMap((effect) =>
      effect.kind === 'send' && effect.message.kind === 'gossip' ? effect.message.updates : [],
    );
    expect(gossiped.find(({ node }) => node === identity)?.refutation).toEqual(4);
  });

  it('sends no messages after it has stopped', () => {
    const self = identityAt(startFleet(), 0);
    const stopped = Membership.start(self, 0, xoroshiro128plus(1));
    stopped.apply({ kind: 'stop' }, 1);
    const hosts = [{ ...self, address: '10.9.9.9', leaving: false }];
    expect(stopped.apply({ kind: 'host-list', hosts }, 2).effects).toEqual([]);
    expect(stopped.apply({ kind: 'tick' }, 3).effects).toEqual([]);
  });
});

describe('decodeMembershipMessage', () => {
  it('refuses arbitrary values without throwing', () => {
    fc.assert(
      fc.property(fc.anything(), (body) => decodeMembershipMessage(body).isLeft()),
      { seed: 11, numRuns: 500 },
    );
  });

  it('accepts every message that a fleet sends, of all kinds', () => {
    const fleet = new MembershipFleet(3, DATA_CENTRES);
    const kinds = new Set<MembershipMessage['kind']>();
    fleet.onSend = (_, message) => {
      kinds.add(message.kind);
      expect(decodeMembershipMessage(message).isRight()).toEqual(true);
    };
    for (let place = 0; place < 4; place++) fleet.start(place);
    fleet.runUntil(3000);
    fleet.kill(1);
    fleet.runUntil(5000);
    expect([...kinds].sort()).toEqual([
      'ack',
      'gossip',
      'join',
      'nack',
      'ping',
      'ping-request',
      'state',
    ]);
  });

  it('names the invalid field', () => {
    const message = { kind: 'nack', seq: -1, from: 'x' };
    expect(decodeMembershipMessage(message).swap().unsafeCoerce()).toEqual({
      kind: 'bad-field',
      field: 'seq',
    });
  });
});
