import {
  applyChange,
  decodeRecord,
  diffInventory,
  diffRules,
  Snapshot,
  SnapshotAssembly,
  type PositionedConfig,
} from '../src/core';
import { Inventory, type Config, type ConfigChange } from '../src/model';

import {
  sampleRules,
  sampleUpstream,
  sampleUpstreams,
  sampleWorkspace,
  type ConfigSize,
} from './config-samples';

const RUNS = 41;
const WARM_UP = 10;

/** The median time of an action, in milliseconds. */
const median = (action: () => unknown): number => {
  for (let run = 0; run < WARM_UP; run++) action();
  const times = Array.from({ length: RUNS }, () => {
    const start = performance.now();
    action();
    return performance.now() - start;
  });
  times.sort((a, b) => a - b);
  return Number((times[RUNS >> 1] ?? 0).toFixed(3));
};

const none = { put: [], removed: [] };

const transfer = (at: PositionedConfig): PositionedConfig => {
  const snapshot = new Snapshot(at);
  let assembly = SnapshotAssembly.begin(at.tip, snapshot.parts);
  while (!assembly.complete) assembly = assembly.add(snapshot.part(assembly.next));
  return assembly.result();
};

/** Costs in milliseconds of applying and handing over a configuration of one size. */
export const applyCosts = (size: ConfigSize): Readonly<Record<string, number>> => {
  const upstreams = sampleUpstreams(size.upstreams);
  const rules = sampleRules(size);
  const config: Config = { version: 1, inventory: Inventory.from(upstreams), rules };
  const at: PositionedConfig = { config, tip: { version: 1, chain: 'c', through: 1 } };
  const one: ConfigChange = {
    kind: 'inventory-delta',
    put: [sampleUpstream(3, 2)],
    removed: ['asset-9'],
  };
  const workspace: ConfigChange = {
    kind: 'rules-delta',
    services: none,
    routes: none,
    workspaces: { put: [sampleWorkspace(5, 2)], removed: ['workspace-7'] },
  };
  const checkpoint = JSON.stringify({
    kind: 'checkpoint',
    format: 1,
    tip: at.tip,
    upstreams,
    rules,
  });
  return {
    upstreams: size.upstreams,
    workspaces: size.workspaces,
    inventoryDeltaMs: median(() => applyChange(config, one)),
    inventoryWholeMs: median(() => applyChange(config, { kind: 'inventory', upstreams })),
    rulesDeltaMs: median(() => applyChange(config, workspace)),
    diffInventoryMs: median(() => diffInventory(config.inventory, upstreams)),
    diffRulesMs: median(() => diffRules(rules, rules)),
    checkpointReadMs: median(() => decodeRecord(JSON.parse(checkpoint))),
    checkpointBytes: checkpoint.length,
    snapshotMs: median(() => transfer(at)),
  };
};
