import { Directory, RouteTable } from '../../src/core';
import type { Inventory, Rules } from '../../src/model';

import { heapOf, microsOf, type Slope } from './measure';
import { inventoryOf, routeAt, rulesOf, upstreamAt, workspaceAt } from './samples';

/** Routes and workspaces, in the target's proportion. */
const SIZES = [
  [650, 10_250],
  [1300, 20_500],
  [2600, 41_000],
] as const;
const INVENTORIES = [1700, 3400, 6800];

const tableOf = (rules: Rules): RouteTable => {
  const table = new RouteTable();
  table.update(rules);
  return table;
};

const lookupMicros = (routes: number, workspaces: number): number => {
  const table = tableOf(rulesOf(routes, workspaces));
  const paths = Array.from(
    { length: 1000 },
    (_, i) => `${routeAt((i * 37) % routes).pathPrefix}/x?y=1`,
  );
  const names = Array.from({ length: 1000 }, (_, i) => workspaceAt((i * 41) % workspaces).name);
  return microsOf((i) => table.find('POST', paths[i % 1000] ?? '', names[i % 1000] ?? ''), 100_000);
};

/** Replaces one entry by another, as a change of the configuration does. */
const withOne = <T>(entries: readonly T[], index: number, entry: T): readonly T[] =>
  entries.map((old, i) => (i === index ? entry : old));

const changeMicros = (routes: number, workspaces: number): number => {
  let rules = rulesOf(routes, workspaces);
  const table = tableOf(rules);
  const changes = Array.from({ length: 20 }, (_, i) => {
    const route = { ...routeAt((i * 97) % routes), timeout: 3000 + i };
    const workspace = { ...workspaceAt((i * 89) % workspaces), weight: 7 };
    rules = {
      ...rules,
      routes: withOne(rules.routes, (i * 97) % routes, route),
      workspaces: withOne(rules.workspaces, (i * 89) % workspaces, workspace),
    };
    return rules;
  });
  return microsOf((i) => table.update(changes[i] ?? rules), changes.length);
};

const over = (
  what: string,
  unit: string,
  measure: (routes: number, workspaces: number) => number,
): Slope => ({
  role: 'entry',
  what,
  unit,
  per: 'workspaces (and 0.063 routes each)',
  points: SIZES.map(([routes, workspaces]) => [workspaces, measure(routes, workspaces)]),
});

const overInventory = (what: string, unit: string, measure: (size: number) => number): Slope => ({
  role: 'inventory',
  what,
  unit,
  per: 'upstreams',
  points: INVENTORIES.map((size) => [size, measure(size)]),
});

const leave = (inventory: Inventory, i: number): Inventory =>
  inventory.withChanges([], [upstreamAt(i, '').id]);

/** A node's whole directory after one upstream has left. */
const directoryMicros = (size: number): number => {
  const directory = new Directory();
  const rules = rulesOf(2600, 41_000);
  let inventory = inventoryOf(size);
  directory.updateConfig({ version: 1, inventory, rules });
  return microsOf((i) => {
    inventory = leave(inventory, i * 7);
    directory.updateConfig({ version: i + 2, inventory, rules });
  }, 20);
};

export const routingSlopes = (): readonly Slope[] => [
  over('route lookup', 'us', lookupMicros),
  over('route table', 'B', (routes, workspaces) =>
    heapOf(() => tableOf(rulesOf(routes, workspaces))),
  ),
  over('table built whole', 'us', (routes, workspaces) => {
    const rules = rulesOf(routes, workspaces);
    return microsOf(() => tableOf(rules), 5);
  }),
  over('one route and one workspace changed', 'us', changeMicros),
  overInventory('inventory', 'B', (size) => heapOf(() => inventoryOf(size))),
  overInventory('one upstream leaves: inventory', 'us', (size) => {
    const inventory = inventoryOf(size);
    return microsOf((i) => leave(inventory, i), 20);
  }),
  overInventory('one upstream leaves: whole directory', 'us', directoryMicros),
];
