import type { Route, Rules, Upstream, Workspace } from '../src/model';

const UPSTREAMS_PER_SERVICE = 34;

/** Counts of the entries of a configuration. */
export interface ConfigSize {
  readonly upstreams: number;
  readonly routes: number;
  readonly workspaces: number;
}

export const sampleUpstream = (index: number, slots = 6): Upstream => ({
  id: `asset-${index}`,
  service: `service-${Math.floor(index / UPSTREAMS_PER_SERVICE)}`,
  dataCentre: `dc-${index % 7}`,
  address: `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}`,
  port: 8080,
  slots,
  connections: 350,
});

export const sampleWorkspace = (index: number, weight = 1): Workspace => ({
  name: `workspace-${index}`,
  weight,
  group: index % 10 === 0 ? `group-${index % 50}` : undefined,
});

const sampleRoute = (index: number): Route => ({
  method: 'GET',
  pathPrefix: `/service-${index % 200}/resource-${index}`,
  service: `service-${index % 200}`,
  idempotent: true,
  timeout: 2000,
});

export const sampleUpstreams = (count: number): readonly Upstream[] =>
  Array.from({ length: count }, (_, index) => sampleUpstream(index));

export const sampleRules = ({ upstreams, routes, workspaces }: ConfigSize): Rules => ({
  services: Array.from({ length: Math.ceil(upstreams / UPSTREAMS_PER_SERVICE) }, (_, index) => ({
    name: `service-${index}`,
    floor: 0.7,
    costRatio: 10,
    queuePerSlot: 4,
    retryRatio: 0.1,
  })),
  routes: Array.from({ length: routes }, (_, index) => sampleRoute(index)),
  workspaces: Array.from({ length: workspaces }, (_, index) => sampleWorkspace(index)),
});
