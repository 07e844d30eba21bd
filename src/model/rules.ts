import type { Millis } from './time';
import type { ServiceName } from './upstream';

/** The name of a caller's account. */
export type WorkspaceName = string;

/** The operators' rules for one service. */
export interface ServiceRules {
  readonly name: ServiceName;
  /**
   * Share of the service's slots (0 to 1) that ejection of unhealthy upstreams always leaves in
   * use.
   */
  readonly floor: number;
  /** Cost of detecting a failed upstream late, divided by the cost of ejecting a healthy one. */
  readonly costRatio: number;
  /** Requests that may wait in the queue, per slot in the inventory. */
  readonly queuePerSlot: number;
  /** Retries and hedges allowed per first attempt, 0 to 1. */
  readonly retryRatio: number;
}

/** Maps a method and a path prefix to a service. */
export interface Route {
  /** An HTTP method in capitals, or `*`. */
  readonly method: string;
  /** The route matches this path and all paths below it. */
  readonly pathPrefix: string;
  readonly service: ServiceName;
  /** Whether a request may run more than once without harm. */
  readonly idempotent: boolean;
  /** Default and upper limit of the time that a caller may give a request. */
  readonly timeout: Millis;
  /** The route group that this route belongs to; absent if it holds for all workspaces. */
  readonly group?: string | undefined;
}

/** The operators' rules for one caller's account. */
export interface Workspace {
  readonly name: WorkspaceName;
  /** Weight of the workspace's share in a contended queue, relative to the other workspaces. */
  readonly weight: number;
  /** The route group that is searched before the routes without a group. */
  readonly group?: string | undefined;
}

/** The rules that the operators publish. Immutable. */
export interface Rules {
  readonly services: readonly ServiceRules[];
  readonly routes: readonly Route[];
  readonly workspaces: readonly Workspace[];
}

/** The rules before the operators have published any. */
export const NO_RULES: Rules = { services: [], routes: [], workspaces: [] };

/** Returns the rules for a service that the operators have set none for. */
export const defaultServiceRules = (name: ServiceName): ServiceRules => ({
  name,
  floor: 0.7,
  costRatio: 10,
  queuePerSlot: 4,
  retryRatio: 0.1,
});
