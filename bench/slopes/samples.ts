import {
  Inventory,
  type Member,
  type Route,
  type Rules,
  type Upstream,
  type Workspace,
} from '../../src/model';

import { range } from './measure';

/** Data centres of the fleet that the sizes are planned for. */
export const DATA_CENTRES = [
  'takoradi',
  'sekondi',
  'tarkwa',
  'accra',
  'dg-suseong',
  'dg-dalseo',
  'dg-buk',
];

const UPSTREAMS_PER_SERVICE = 34;
const ROUTES_PER_SERVICE = 13;
const GROUP_COUNT = 20;

export const upstreamAt = (index: number, service: string): Upstream => ({
  id: `asset-${index.toString().padStart(6, '0')}`,
  service,
  dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
  address: `10.${64 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}`,
  port: 9000,
  slots: 6,
  connections: 350,
});

/** Returns the service of upstream number `index`. */
const serviceOf = (index: number): string => `service-${Math.floor(index / UPSTREAMS_PER_SERVICE)}`;

export const inventoryOf = (size: number): Inventory =>
  Inventory.from(range(size).map((i) => upstreamAt(i, serviceOf(i))));

export const routeAt = (index: number): Route => ({
  method: index % 3 === 0 ? 'POST' : '*',
  pathPrefix: `/v1/area-${index % 40}/office-${index % 130}/resource-${index}`,
  service: `service-${Math.floor(index / ROUTES_PER_SERVICE)}`,
  idempotent: index % 3 !== 0,
  timeout: 2000,
  group: index % 10 === 0 ? `group-${index % GROUP_COUNT}` : undefined,
});

export const workspaceAt = (index: number): Workspace => ({
  name: `workspace-${index}`,
  weight: 1 + (index % 3),
  group: index % 8 === 0 ? `group-${index % GROUP_COUNT}` : undefined,
});

/** Returns rules without services. */
export const rulesOf = (routes: number, workspaces: number): Rules => ({
  services: [],
  routes: range(routes).map(routeAt),
  workspaces: range(workspaces).map(workspaceAt),
});

export const memberAt = (index: number): Member => ({
  incarnation: `${index.toString(16).padStart(4, '0')}c2f1a9b07d3e`,
  dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
  address: `10.0.${index >> 8}.${index & 255}`,
  callerPort: 8080,
  peerPort: 8081,
  state: 'alive',
});
