import { Directory, RouteTable } from '../../src/core';
import type { Inventory, Rules } from '../../src/model';

import { retainedBytes, medianMicros, type Slope } from './measure';
import { inventoryOf, routeAt, rulesOf, upstreamAt, workspaceAt } from './samples';

/** Counts of routes and of workspaces, in a fixed proportion. */
const RULE_SIZES = [
  [650, 10_250],
  [1300, 20_500],
  [2600, 41_000],
] as const;
const INVENTORY_SIZES = [1700, 3400, 6800];

const tableOf = (rules: Rules): RouteTable => {
  const table = new RouteTable();
  table.update(rules);
  return table;
};

/** Returns the time to find the route of one request. */
const lookupMicros = (routes: number, workspaces: number): number => {
  const table = tableOf(rulesOf(routes, workspaces));
  const paths = Array.from(
    { length: 1000 },
    (_, i) => `${routeAt((i * 37) % routes).pathPrefix}/x?y=1`,
  );
  const names = Array.from({ length: 1000 }, (_, i) => workspaceAt((i * 41) % workspaces).name);
  return medianMicros(
    (i) => table.find('POST', paths[i % 1000] ?? '', names[i % 1000] ?? ''),
    100_000,
  );
};

/** Returns the entries with one replaced, as a change of the configuration does. */
const replaceEntry = <T>(entries: readonly T[], index: number, entry: T): readonly T[] =>
  entries.map((old, i) => (i === index ? entry : old));

/** Returns the time to update a route table by one changed route and workspace. */
const changeMicros = (routes: number, workspaces: number): number => {
  let rules = rulesOf(routes, workspaces);
  const table = tableOf(rules);
  const changes = Array.from({ length: 20 }, (_, i) => {
    const route = { ...routeAt((i * 97) % routes), timeout: 3000 + i };
    const workspace = { ...workspaceAt((i * 89) % workspaces), weight: 7 };
    rules = {
      ...rules,
      routes: replaceEntry(rules.routes, (i * 97) % routes, route),
      workspaces: replaceEntry(rules.workspaces, (i * 89) % workspaces, workspace),
    };
    return rules;
  });
  return medianMicros((i) => table.update(changes[i] ?? rules), changes.length);
};

/** Measures one cost of the node that a request enters at several sizes of the rules. */
const slopeOver = (
  what: string,
  unit: string,
  measure: (routes: number, workspaces: number) => number,
): Slope => ({
  role: 'entry',
  what,
  unit,
  per: 'workspaces (and 0.063 routes each)',
  points: RULE_SIZES.map(([routes, workspaces]) => [workspaces, measure(routes, workspaces)]),
});

/** Measures one cost at several sizes of the inventory. */
const overInventory = (what: string, unit: string, measure: (size: number) => number): Slope => ({
  role: 'inventory',
  what,
  unit,
  per: 'upstreams',
  points: INVENTORY_SIZES.map((size) => [size, measure(size)]),
});

/** Returns the inventory without upstream number `i`. */
const withoutUpstream = (inventory: Inventory, i: number): Inventory =>
  inventory.withChanges([], [upstreamAt(i, '').id]);

/** Returns the time to update a node's whole directory after one upstream has left. */
const directoryMicros = (size: number): number => {
  const directory = new Directory();
  const rules = rulesOf(2600, 41_000);
  let inventory = inventoryOf(size);
  directory.updateConfig({ version: 1, inventory, rules });
  return medianMicros((i) => {
    inventory = withoutUpstream(inventory, i * 7);
    directory.updateConfig({ version: i + 2, inventory, rules });
  }, 20);
};

/** Measures the route table, the inventory and the directory of a node. */
export const routingSlopes = (): readonly Slope[] => [
  slopeOver('route lookup', 'us', lookupMicros),
  slopeOver('route table', 'B', (routes, workspaces) =>
    retainedBytes(() => tableOf(rulesOf(routes, workspaces))),
  ),
  slopeOver('table built whole', 'us', (routes, workspaces) => {
    const rules = rulesOf(routes, workspaces);
    return medianMicros(() => tableOf(rules), 5);
  }),
  slopeOver('one route and one workspace changed', 'us', changeMicros),
  overInventory('inventory', 'B', (size) => retainedBytes(() => inventoryOf(size))),
  overInventory('one upstream leaves: inventory', 'us', (size) => {
    const inventory = inventoryOf(size);
    return medianMicros((i) => withoutUpstream(inventory, i), 20);
  }),
  overInventory('one upstream leaves: whole directory', 'us', directoryMicros),
];
