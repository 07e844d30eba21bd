import type { Readable } from 'node:stream';

import type { Call, Headers, Refusal } from '../model';

/** The load of a shard, as the node that owns it counts it. */
export interface ShardLoad {
  /** Requests that the shard's upstreams can run at once. */
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
}

/** The reply to a call: an upstream's answer with its body, or a refusal by a node. */
export type Reply =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: Headers;
      /** The stream fails if the answer is cut short; it never ends early without an error. */
      readonly body: Readable;
      /** The load of the shard that answered. */
      readonly load?: ShardLoad | undefined;
    }
  | {
      readonly kind: 'refused';
      readonly outcome: Refusal;
      /** Set if the call never left this node, so that the refusal is this node's own. */
      readonly unsent?: true;
      readonly load?: ShardLoad | undefined;
    };

/** Serves one call. Aborting `signal` cancels the call; the promise still settles. */
export type Handler = (call: Call, body: Readable, signal: AbortSignal) => Promise<Reply>;
