import {
  type ChangeRecord,
  type CheckpointRecord,
  type ConfigChange,
  type Tip,
  type Upstream,
} from '../../../src/model';

/** Creates an upstream of an inventory. */
export const upstream = (id: string, service = 'bookings'): Upstream => ({
  id,
  service,
  dataCentre: 'takoradi',
  address: '127.0.0.1',
  port: 1,
  slots: 6,
  connections: 350,
});

/** Creates a change that adds one upstream. */
export const addUpstream = (id: string): ConfigChange => ({
  kind: 'inventory-delta',
  put: [upstream(id)],
  removed: [],
});

/** Creates the record of a change to version `base` that adds the upstream `id`. */
export const publication = (id: string, base: number): ChangeRecord => ({
  kind: 'change',
  format: 1,
  publishId: id,
  base,
  change: addUpstream(id),
});

/** Creates a checkpoint of an inventory with these upstreams and no rules. */
export const checkpoint = (tip: Tip, ids: readonly string[]): CheckpointRecord => ({
  kind: 'checkpoint',
  format: 1,
  tip,
  upstreams: ids.map((id) => upstream(id)),
  rules: { services: [], routes: [], workspaces: [] },
});
