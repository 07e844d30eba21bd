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

const MEASURED_RUN_COUNT = 41;
const WARM_UP_RUN_COUNT = 10;

/** Returns the median time of an action in milliseconds, after warm-up runs. */
const medianMillis = (action: () => unknown): number => {
  for (let run = 0; run < WARM_UP_RUN_COUNT; run++) action();
  const times = Array.from({ length: MEASURED_RUN_COUNT }, () => {
    const start = performance.now();
    action();
    return performance.now() - start;
  });
  times.sort((a, b) => a - b);
  return Number((times[MEASURED_RUN_COUNT >> 1] ?? 0).toFixed(3));
};

/** A delta that changes no entries of a kind. */
const noEntryChanges = { put: [], removed: [] };

/** Transfers a configuration as a snapshot, part by part. */
const transferSnapshot = (at: PositionedConfig): PositionedConfig => {
  const snapshot = new Snapshot(at);
  let assembly = SnapshotAssembly.begin(at.tip, snapshot.parts);
  while (!assembly.complete) assembly = assembly.add(snapshot.part(assembly.next));
  return assembly.result();
};

/**
 * Measures the costs of applying and transferring a configuration of one size, by name and unit.
 */
export const measureApplyCosts = (size: ConfigSize): Readonly<Record<string, number>> => {
  const upstreams = sampleUpstreams(size.upstreams);
  const rules = sampleRules(size);
  const config: Config = { version: 1, inventory: Inventory.from(upstreams), rules };
  const at: PositionedConfig = { config, tip: { version: 1, chain: 'c', through: 1 } };
  const inventoryDelta: ConfigChange = {
    kind: 'inventory-delta',
    put: [sampleUpstream(3, 2)],
    removed: ['asset-9'],
  };
  const rulesDelta: ConfigChange = {
    kind: 'rules-delta',
    services: noEntryChanges,
    routes: noEntryChanges,
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
    inventoryDeltaMs: medianMillis(() => applyChange(config, inventoryDelta)),
    inventoryWholeMs: medianMillis(() => applyChange(config, { kind: 'inventory', upstreams })),
    rulesDeltaMs: medianMillis(() => applyChange(config, rulesDelta)),
    diffInventoryMs: medianMillis(() => diffInventory(config.inventory, upstreams)),
    diffRulesMs: medianMillis(() => diffRules(rules, rules)),
    checkpointReadMs: medianMillis(() => decodeRecord(JSON.parse(checkpoint))),
    checkpointBytes: checkpoint.length,
    snapshotMs: medianMillis(() => transferSnapshot(at)),
  };
};
