import type {
  ChangeRecord,
  CheckpointRecord,
  Config,
  Instant,
  Millis,
  NodeAddress,
} from '../../model';

import type { ConfigMessage } from './message';
import type { ListedNode } from './quorum-sample';

/** A run of records of the stream, as the log gave it. */
export interface StreamBatch {
  readonly records: readonly { readonly offset: number; readonly value: unknown }[];
  /** The oldest offset that the log keeps. */
  readonly first: number;
  /** The offset that the next append will get. */
  readonly next: number;
}

/** What can happen to a node's configuration. */
export type ConfigEvent =
  | { readonly kind: 'tick' }
  /** The listed nodes have changed, this one among them or not. */
  | { readonly kind: 'members'; readonly listed: readonly ListedNode[] }
  /** A read sent at `sentAt` has been answered. */
  | { readonly kind: 'log-batch'; readonly sentAt: Instant; readonly batch: StreamBatch }
  | { readonly kind: 'log-trimmed'; readonly first: number }
  | { readonly kind: 'log-failed' }
  | { readonly kind: 'message'; readonly message: ConfigMessage };

/** What a node counts of its configuration. */
export type ConfigCount =
  | 'conflict'
  | 'malformed-record'
  | 'unknown-format'
  | 'log-gap'
  | 'log-behind'
  | 'chain-mismatch'
  | 'from-checkpoint'
  | 'from-peer-changes'
  | 'from-peer-snapshot'
  | 'checkpoint-appended';

/** What a node does about its configuration. */
export type ConfigEffect =
  /** Read the stream from an offset, waiting at most so long for a record. */
  | { readonly kind: 'read-log'; readonly from: number; readonly wait: Millis }
  | { readonly kind: 'append-checkpoint'; readonly record: CheckpointRecord }
  | { readonly kind: 'send'; readonly to: NodeAddress; readonly message: ConfigMessage }
  /** The configuration now in force; `record` when one change has led to it. */
  | {
      readonly kind: 'accepted';
      readonly config: Config;
      readonly record: ChangeRecord | undefined;
    }
  | { readonly kind: 'count'; readonly what: ConfigCount };
