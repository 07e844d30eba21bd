import type { Incarnation, Millis, WorkspaceName } from '../../model';

import type { PartitionIndex } from './terms';

/** A request for tokens of one partition of a workspace's quota. */
export interface TokenAsk {
  /** Number of the request at its sender; one that is repeated keeps it. */
  readonly seq: number;
  readonly partition: PartitionIndex;
  readonly workspace: WorkspaceName;
  readonly count: number;
  /** Time from now until which tokens may become usable. */
  readonly horizon: Millis;
}

/** Tokens of a grant that have not been used and never will be. */
export interface TokenReturn {
  /** The number of the request under which they were granted. */
  readonly seq: number;
  readonly first: number;
  readonly count: number;
}

/** Tokens that become usable one after the other. */
export interface TokenRun {
  readonly count: number;
  /** Time from the grant until the first one is usable, in whole milliseconds. */
  readonly delay: Millis;
  /** Time between two of them, in whole microseconds. */
  readonly stepMicros: number;
}

/**
 * How a request for tokens was answered: in full, in part as the bucket is empty, or by a host that
 * is not the partition's allocator.
 */
export type GrantOutcome = 'full' | 'short' | 'elsewhere';

/** The answer to a `TokenAsk`. */
export interface TokenGrant {
  readonly seq: number;
  readonly outcome: GrantOutcome;
  /** Time until the next token of the partition, or until it is worth asking again. */
  readonly nextIn: Millis;
  readonly runs: readonly TokenRun[];
}

/** Address for the answer to a message. */
export interface QuotaPeer {
  readonly address: string;
  readonly peerPort: number;
  readonly datagramVersion?: number | undefined;
}

/** A message of topic `quotas`. */
export type QuotaMessage =
  | {
      readonly kind: 'ask';
      readonly from: QuotaPeer;
      readonly sender: Incarnation;
      readonly asks: readonly TokenAsk[];
      readonly returns: readonly TokenReturn[];
    }
  | {
      readonly kind: 'granted';
      /** The incarnation that asked; a restarted process drops the grants of the one before. */
      readonly to: Incarnation;
      readonly grants: readonly TokenGrant[];
    }
  /** The sender takes over a partition from the receiver, which stops granting it. */
  | { readonly kind: 'claim'; readonly partition: PartitionIndex };
