import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { ChangeRecord, Config, ConfigChange, Upstream } from '../../src/model';

const SERVICE_NAMES = ['bookings', 'archives', 'seat-maps'] as const;
/** Number of ids from which upstreams are drawn, so that changes hit existing upstreams. */
const UPSTREAM_ID_COUNT = 24;

const drawUpstream = (random: RandomGenerator, id: number): Upstream => ({
  id: `asset-${id}`,
  service: SERVICE_NAMES[uniformInt(random, 0, SERVICE_NAMES.length - 1)] ?? 'bookings',
  dataCentre: 'takoradi',
  address: '127.0.0.1',
  port: 1000 + id,
  slots: uniformInt(random, 1, 6),
  connections: 350,
});

const drawInventoryDelta = (random: RandomGenerator, { inventory }: Config): ConfigChange => {
  const present = inventory.all();
  const candidate = present[uniformInt(random, 0, Math.max(0, present.length - 1))];
  const put = drawUpstream(random, uniformInt(random, 0, UPSTREAM_ID_COUNT - 1));
  const removed = candidate && candidate.id !== put.id ? [candidate.id] : [];
  return { kind: 'inventory-delta', put: [put], removed };
};

const drawRulesDelta = (random: RandomGenerator): ConfigChange => {
  const workspace = {
    name: `office-${uniformInt(random, 0, 9)}`,
    weight: uniformInt(random, 1, 9),
  };
  const none = { put: [], removed: [] };
  return {
    kind: 'rules-delta',
    services: none,
    routes: none,
    workspaces: { put: [workspace], removed: [`office-${uniformInt(random, 10, 19)}`] },
  };
};

const drawChange = (random: RandomGenerator, config: Config): ConfigChange => {
  switch (uniformInt(random, 0, 9)) {
    case 0: {
      const upstreams = Array.from({ length: 8 }, (_, id) => drawUpstream(random, id));
      return { kind: 'inventory', upstreams };
    }
    case 1:
    case 2:
      return drawRulesDelta(random);
    default:
      return drawInventoryDelta(random, config);
  }
};

/** Returns a random change record that an operator publishes against `config` at version `base`. */
export const drawChangeRecord = (
  random: RandomGenerator,
  config: Config,
  base: number,
): ChangeRecord => ({
  kind: 'change',
  format: 1,
  publishId: `publish-${uniformInt(random, 0, 0x7fffffff)}`,
  base,
  change: drawChange(random, config),
});
