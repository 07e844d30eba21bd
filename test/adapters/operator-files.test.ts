import { expect } from 'earl';
import { describe, it } from 'node:test';

import { describeTomlError, parseInventory, parseRules } from '../../src/adapters';

const upstreamToml = (id: string, port: number): string => `[[upstream]]
id = "${id}"
service = "bookings"
dataCentre = "takoradi"
address = "127.0.0.1"
port = ${port}
slots = 6
connections = 350
`;

const INVENTORY = upstreamToml('a', 1) + upstreamToml('b', 2);

const RULES = `[[service]]
name = "bookings"
floor = 0.5
[[route]]
method = "GET"
path = "/bookings"
service = "bookings"
idempotent = true
timeout = "2s"
[[route]]
method = "GET"
path = "/bookings"
service = "bookings"
idempotent = true
timeout = "3s"
group = "partners"
[[workspace]]
name = "sekondi"
weight = 2
group = "partners"
`;

const inventoryRefusal = (source: string): string =>
  parseInventory('inv.toml', source).caseOf({ Left: describeTomlError, Right: () => 'accepted' });

const rulesRefusal = (source: string): string =>
  parseRules('rules.toml', source).caseOf({ Left: describeTomlError, Right: () => 'accepted' });

const expectStart = (text: string, start: string): void => {
  expect(text.slice(0, start.length)).toEqual(start);
};

describe('inventory file', () => {
  it('returns the upstreams in the order of the file', () => {
    const upstreams = parseInventory('inv.toml', INVENTORY).unsafeCoerce();
    expect(upstreams.map(({ id, port }) => [id, port])).toEqual([
      ['a', 1],
      ['b', 2],
    ]);
  });

  it('refuses a duplicate id or address and reports the line of the second entry', () => {
    expectStart(
      inventoryRefusal(upstreamToml('a', 1) + upstreamToml('a', 2)),
      'inv.toml:10: upstream[2].id: dup',
    );
    expectStart(
      inventoryRefusal(upstreamToml('a', 1) + upstreamToml('b', 1)),
      'inv.toml:14: upstream[2].port: over',
    );
  });

  it('refuses values out of range and unknown keys', () => {
    const refusalAfter = (from: string, to: string): string =>
      inventoryRefusal(INVENTORY.replace(from, to));
    expectStart(
      refusalAfter('slots = 6', 'slots = 0'),
      'inv.toml:7: upstream[1].slots: out-of-range',
    );
    expectStart(
      refusalAfter('slots = 6', 'slots = 400'),
      'inv.toml:8: upstream[1].connections: out-of-range',
    );
    expectStart(refusalAfter('slots', 'slot'), 'inv.toml:7: upstream[1].slot: unknown-key');
    expectStart(refusalAfter('[[upstream]]', '[upstream]'), 'inv.toml:9: syntax');
    expectStart(
      refusalAfter('[[upstream]]', '[[upstreams]]'),
      'inv.toml:1: upstreams: unknown-key',
    );
  });
});

describe('rules file', () => {
  it('returns services, routes and workspaces', () => {
    const rules = parseRules('rules.toml', RULES).unsafeCoerce();
    expect(rules.services[0]?.floor).toEqual(0.5);
    expect(rules.routes.map(({ timeout, pathPrefix }) => [timeout, pathPrefix])).toEqual([
      [2000, '/bookings'],
      [3000, '/bookings'],
    ]);
    expect(rules.workspaces[0]?.group).toEqual('partners');
  });

  const refusals: readonly (readonly [from: string, to: string, start: string])[] = [
    ['floor = 0.5', 'floor = 1.5', 'rules.toml:3: service[1].floor: out-of-range'],
    ['floor = 0.5', 'floor = "50%"', 'rules.toml:3: service[1].floor: wrong-type'],
    ['service = "bookings"', 'service = "x"', 'rules.toml:7: route[1].service: unknown-name'],
    ['timeout = "2s"', 'timeout = 2', 'rules.toml:9: route[1].timeout: wrong-unit'],
    [
      'timeout = "2s"',
      'timeout = "2s"\ngroup = "partners"',
      'rules.toml:13: route[2].path: unreach',
    ],
    ['weight = 2\ngroup = "partners"', '', 'rules.toml:16: route[2].group: unreachable'],
    ['weight = 2\ngroup = "partners"', 'group = "x"', 'rules.toml:19: workspace[1].group: unknown'],
    ['idempotent = true', 'idempotent = "yes"', 'rules.toml:8: route[1].idempotent: wrong-type'],
  ];
  refusals.forEach(([from, to, start]) =>
    it(`refuses ${start}`, () => {
      expectStart(rulesRefusal(RULES.replace(from, to)), start);
    }),
  );
});
