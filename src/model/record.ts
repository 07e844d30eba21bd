import type { Route, Rules, ServiceRules, Workspace, WorkspaceName } from './rules';
import type { ServiceName, Upstream, UpstreamId } from './upstream';

/** The name of the platform log's stream that holds the configuration. */
export const CONFIG_STREAM = 'config';

/** The format version of the configuration records that this program writes and reads. */
export const RECORD_FORMAT = 1;

/** Identifies one publication; chosen at random, and the same in every append that repeats it. */
export type PublishId = string;

/** Identifies a route among the rules, as `group method pathPrefix`. */
export type RouteKey = string;

export const routeKey = (route: Pick<Route, 'group' | 'method' | 'pathPrefix'>): RouteKey =>
  `${route.group ?? ''} ${route.method} ${route.pathPrefix}`;

/** Entries that were added or replaced, and the keys of entries that were removed. */
export interface Delta<T, K> {
  readonly put: readonly T[];
  readonly removed: readonly K[];
}

/** A change of the configuration: either a whole new value or what differs from the earlier one. */
export type ConfigChange =
  | ({ readonly kind: 'inventory-delta' } & Delta<Upstream, UpstreamId>)
  | { readonly kind: 'inventory'; readonly upstreams: readonly Upstream[] }
  | {
      readonly kind: 'rules-delta';
      readonly services: Delta<ServiceRules, ServiceName>;
      readonly routes: Delta<Route, RouteKey>;
      readonly workspaces: Delta<Workspace, WorkspaceName>;
    }
  | { readonly kind: 'rules'; readonly rules: Rules };

/** A published change. It is accepted only if `base` is the current version when it is read. */
export interface ChangeRecord {
  readonly kind: 'change';
  readonly format: typeof RECORD_FORMAT;
  readonly publishId: PublishId;
  /** The version from which the publisher computed the change. */
  readonly base: number;
  readonly change: ConfigChange;
}

/**
 * A reader's position in the stream. Two readers with the same `through` agree on the other fields.
 */
export interface Tip {
  /** The number of changes accepted so far. */
  readonly version: number;
  /** A hash chain over the accepted changes, in order. */
  readonly chain: string;
  /** The offset of the first record that has not been applied. */
  readonly through: number;
}

/** The whole configuration that results from the records before `tip.through`. */
export interface CheckpointRecord {
  readonly kind: 'checkpoint';
  readonly format: typeof RECORD_FORMAT;
  readonly tip: Tip;
  readonly upstreams: readonly Upstream[];
  readonly rules: Rules;
}

/** A record of the stream CONFIG_STREAM. */
export type ConfigRecord = ChangeRecord | CheckpointRecord;
