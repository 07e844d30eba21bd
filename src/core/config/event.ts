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

/** Consecutive records of the stream, as returned by a read of the log. */
export interface StreamBatch {
  readonly records: readonly { readonly offset: number; readonly value: unknown }[];
  /** Oldest offset in the log. */
  readonly first: number;
  /** Offset of the next append. */
  readonly next: number;
}

/** Events that the configuration state of a node handles. */
export type ConfigEvent =
  | { readonly kind: 'tick' }
  /** The list of nodes has changed. It may or may not include this node. */
  | { readonly kind: 'members'; readonly listed: readonly ListedNode[] }
  /** A read of the log sent at `sentAt` has returned records. */
  | { readonly kind: 'log-batch'; readonly sentAt: Instant; readonly batch: StreamBatch }
  /** The offset to read was trimmed; `first` is the oldest offset in the log. */
  | { readonly kind: 'log-trimmed'; readonly first: number }
  | { readonly kind: 'log-failed' }
  | { readonly kind: 'message'; readonly message: ConfigMessage };

/** Values of the metric label `what` that count configuration events. */
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

/** Effects that the configuration state asks for. */
export type ConfigEffect =
  /** Read the stream at offset `from`, waiting at most `wait` milliseconds for a record. */
  | { readonly kind: 'read-log'; readonly from: number; readonly wait: Millis }
  | { readonly kind: 'append-checkpoint'; readonly record: CheckpointRecord }
  | { readonly kind: 'send'; readonly to: NodeAddress; readonly message: ConfigMessage }
  /** A configuration is now in force; `record` is set if exactly one change led to it. */
  | {
      readonly kind: 'accepted';
      readonly config: Config;
      readonly record: ChangeRecord | undefined;
    }
  | { readonly kind: 'count'; readonly what: ConfigCount };
