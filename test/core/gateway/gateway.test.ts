import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import {
  capacityOf,
  HostGroups,
  HostRoutes,
  nextStep,
  ownersOf,
  WindowedRetryBudget,
  WeightedRoundRobin,
  verdictOf,
  type AttemptOutcome,
} from '../../../src/core/gateway';
import type { GatewayConfig, GatewayRoute, Member } from '../../../src/model';

const route = (pathPrefix: string, more: Partial<GatewayRoute> = {}): GatewayRoute => ({
  name: pathPrefix,
  pathPrefix,
  kind: 'safe',
  timeout: 1000,
  latencyObjective: 500,
  maxAttempts: 2,
  priority: 1,
  targets: [{ service: 's', weight: 1 }],
  ...more,
});

const config = (routes: readonly GatewayRoute[]): GatewayConfig => ({
  version: 1,
  hosts: new Map([['shop.example', routes]]),
  services: new Set(['s']),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
});

describe('routes', () => {
  const routes = new HostRoutes(config([route('/'), route('/a/'), route('/a/b/')]));

  it('are found by the longest prefix', () => {
    expect(routes.find('shop.example', '/a/b/c')?.name).toEqual('/a/b/');
    expect(routes.find('Shop.Example:8080', '/a/x')?.name).toEqual('/a/');
    expect(routes.find('shop.example', '/ab/')?.name).toEqual('/');
    expect(routes.find('other.example', '/a/')).toEqual(undefined);
  });

  it('deal their parts by weight over any long run', () => {
    const roundRobin = new WeightedRoundRobin();
    const split = route('/', {
      targets: [
        { service: 'x', weight: 90 },
        { service: 'y', weight: 10 },
      ],
    });
    const dealt = Array.from({ length: 100 }, () => roundRobin.next(split));
    expect(dealt.filter((service) => service === 'y').length).toEqual(10);
    expect(dealt.slice(0, 50).filter((service) => service === 'y').length).toEqual(5);
  });
});

describe('what follows an attempt', () => {
  const question = { idempotent: true, runs: 1, maxRuns: 2, hasTime: true };

  it('is never a second run of what is not idempotent', () => {
    fc.assert(
      fc.property(
        fc.constantFrom<AttemptOutcome>(
          { kind: 'failed', status: 500 },
          { kind: 'unknown', why: 'reset' },
          { kind: 'served' },
          { kind: 'cancelled' },
        ),
        fc.nat(5),
        fc.nat(5),
        fc.boolean(),
        (outcome, runs, maxRuns, hasTime) =>
          nextStep(outcome, { idempotent: false, runs, maxRuns, hasTime }).kind === 'end',
      ),
      { seed: 1 },
    );
  });

  it('is a repeat within the route’s attempts and the time', () => {
    const failed: AttemptOutcome = { kind: 'failed', status: 500 };
    expect(nextStep(failed, question)).toEqual({ kind: 'repeat', counted: true });
    expect(nextStep(failed, { ...question, runs: 2 })).toEqual({ kind: 'end' });
    expect(nextStep(failed, { ...question, hasTime: false })).toEqual({ kind: 'end' });
    const unreachable: AttemptOutcome = { kind: 'not-run', why: 'unreachable' };
    expect(nextStep(unreachable, { ...question, idempotent: false })).toEqual({
      kind: 'repeat',
      counted: false,
    });
  });

  it('tells an upstream’s failure from the request’s own by its time', () => {
    const failed: AttemptOutcome = { kind: 'failed', status: 500 };
    expect(verdictOf(failed, 0.01)).toEqual({ kind: 'evidence', evidence: 'failed-early' });
    expect(verdictOf(failed, 1.2)).toEqual({ kind: 'evidence', evidence: 'failed-late' });
  });
});

/** Load pattern: every request fails at first, on all nodes, for as long as the budget's windows. */
describe('repeats of a whole fleet', () => {
  const bounds = { repeatRatio: 0.2, repeatBase: 60, repeatWindow: 10_000 };

  it('stay within the bound in every window, across a restart of all nodes', () => {
    const owners = 6;
    const idle = 34;
    const make = (now: number): WindowedRetryBudget[] =>
      Array.from({ length: owners + idle }, () => new WindowedRetryBudget(() => bounds, now));
    let nodes = make(0);
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let now = 0; now < 60_000; now += 10) {
      if (now === 30_000) nodes = make(now);
      const node = nodes[(now / 10) % nodes.length];
      const sharers = (now / 10) % nodes.length < owners ? owners : 0;
      node?.recordRequest(now);
      requests.push(now);
      while (node?.take(sharers, now)) repeats.push(now);
    }
    for (let start = 0; start < 50_000; start += 500) {
      const within = (times: readonly number[]): number =>
        times.filter((at) => at >= start && at < start + 10_000).length;
      expect(within(repeats) <= 0.2 * within(requests) + 60).toEqual(true);
    }
    expect(repeats.length > 0).toEqual(true);
  });

  it('are there for a node that has just started', () => {
    expect(new WindowedRetryBudget(() => bounds, 0).take(6, 0)).toEqual(true);
    expect(new WindowedRetryBudget(() => bounds, 0).take(0, 0)).toEqual(false);
  });
});

describe('the gateways that callers are sent to', () => {
  const member = (n: number, more: Partial<Member> = {}): Member => ({
    incarnation: `i${n}`,
    dataCentre: n % 2 === 0 ? 'a' : 'b',
    address: `10.0.0.${n}`,
    callerPort: 80,
    peerPort: 81,
    state: 'alive',
    ...more,
  });
  const members = Array.from({ length: 20 }, (_, n) => member(n));

  it('are the same for all who ask, in the caller’s data centre', () => {
    const named = ownersOf(members, 'a', 'shop.example', 0);
    expect(named.length).toEqual(2);
    expect(named.every(({ dataCentre }) => dataCentre === 'a')).toEqual(true);
    expect(ownersOf([...members].reverse(), 'a', 'shop.example', 0)).toEqual(named);
  });

  it('leave out suspects and change little when one goes', () => {
    const [first, second] = ownersOf(members, 'a', 'shop.example', 0);
    const after = members.map((each) =>
      each.address === first?.address ? { ...each, state: 'suspect' as const } : each,
    );
    const named = ownersOf(after, 'a', 'shop.example', 0);
    expect(named[0]).toEqual(second);
    expect(named.some(({ address }) => address === first?.address)).toEqual(false);
  });

  it('are elsewhere when a data centre has none', () => {
    expect(ownersOf(members, 'c', 'shop.example', 0).length).toEqual(2);
    expect(ownersOf([], 'a', 'shop.example', 0)).toEqual([]);
  });

  it('are as many as carry an even part each, on small hosts with thin links among big ones', () => {
    const hosts = Array.from({ length: 44 }, (_, n) =>
      member(2 * n, { capacity: n < 2 ? 270 : 54 }),
    );
    const demand = 210;
    const byName = Array.from({ length: 200 }, (_, i) =>
      ownersOf(hosts, 'a', `h${i}.example`, demand),
    );
    byName.forEach((named) => {
      const part = demand / named.length;
      expect(named.every(({ capacity = 0 }) => part <= capacity)).toEqual(true);
      expect(named.length <= 4).toEqual(true);
    });
    const bigOnes = byName.flat().filter(({ capacity }) => capacity === 270).length;
    // Two of 44 hosts have a fifth of the capacity.
    expect(bigOnes / byName.flat().length > 0.1).toEqual(true);
    expect(ownersOf(hosts, 'a', 'shop.example', 1).length).toEqual(2);
  });

  it('count for as much as their cores and links can carry', () => {
    const none = { cores: Infinity, megabitsPerSecond: Infinity };
    expect(capacityOf(none)).toEqual(undefined);
    expect(capacityOf({ ...none, cores: 0.27 })).toEqual(90);
    expect(capacityOf({ cores: 0.27, megabitsPerSecond: 7 })).toEqual(58);
    expect(capacityOf({ cores: 0.0001, megabitsPerSecond: 7 })).toEqual(1);
  });
});

describe('host names with routes to the same services', () => {
  const SLOTS: Readonly<Record<string, number>> = { s: 100, t: 40, u: 10 };
  const slotsOf = (service: string): number => SLOTS[service] ?? 0;
  const to = (service: string, objective = 1000): GatewayRoute =>
    route(`/${service}/`, { latencyObjective: objective, targets: [{ service, weight: 1 }] });
  const groups = new HostGroups(
    {
      ...config([]),
      hosts: new Map([
        ['a.example', [to('t'), to('s'), to('s', 2000), to('u')]],
        ['b.example', [to('s'), to('t', 500)]],
        ['c.example', [to('u')]],
      ]),
    },
    slotsOf,
  );

  it('share their owners, by the largest of them', () => {
    expect(groups.ofHost('a.example').name).toEqual('s');
    expect(groups.ofHost('b.example').name).toEqual('s');
    expect(groups.ofHost('c.example').name).toEqual('u');
    expect(groups.ofHost('other.example')).toEqual({ name: 'other.example', demand: 0 });
    expect(groups.ofService('t').map(({ name }) => name)).toEqual(['s']);
    expect(groups.ofService('u').map(({ name }) => name)).toEqual(['s', 'u']);
    expect(groups.ofService('none')).toEqual([]);
  });

  it('ask for what the slots can serve within the shortest objective, each service once', () => {
    expect(groups.ofHost('a.example').demand).toEqual(1.5 * (100 + 80 + 5));
    expect(groups.ofHost('c.example').demand).toEqual(1.5 * 5);
  });
});
