import type { Incarnation } from './member';
import type { WorkspaceName } from './rules';
import type { Instant } from './time';
import type { ServiceName } from './upstream';

/**
 * Identifies one send of a request by a caller; a resend has another id, and ids are never reused.
 */
export type CallId = string;

/**
 * Identifies one shard (a subset of a service's upstreams) as `service/index`, the same on every
 * node.
 */
export type ShardId = string;

/** Headers in order of appearance, with names in lower case. */
export type Headers = readonly (readonly [name: string, value: string])[];

/** The idempotency key of a request, if any, by which nodes prevent it from running twice. */
export type IdempotencyKey =
  | { readonly kind: 'none' }
  /**
   * The key starts with a prefix that the node `home` issued; that node records the key's outcome.
   */
  | {
      readonly kind: 'homed';
      readonly key: string;
      readonly home: Incarnation;
      /** On the home node's own clock; after it, no request is started under the key. */
      readonly startBefore: Instant;
    }
  /** The caller made up the key itself, so that no node is named in it. */
  | { readonly kind: 'bare'; readonly key: string };

/** A request as nodes forward it to one another, without its body. */
export interface Call {
  readonly id: CallId;
  readonly service: ServiceName;
  /** The shard that the first node chose; absent before the choice. */
  readonly shard?: ShardId | undefined;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Headers;
  readonly workspace: WorkspaceName;
  /** Whether the request may run more than once without harm. */
  readonly idempotent: boolean;
  readonly key: IdempotencyKey;
  /** The time at which the caller stops waiting. */
  readonly deadline: Instant;
}
