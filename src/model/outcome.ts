import type { Millis } from './time';

/** The reason why a request was refused without running. */
export type NotRunReason =
  | 'bad-request'
  | 'unknown-route'
  | 'deadline-passed'
  | 'queue-full'
  /** The request would have waited in the queue past its deadline. */
  | 'wait-exceeds-deadline'
  /** The queue is full, and the workspace already takes up its share of it. */
  | 'workspace-over-share'
  /** The service has no upstream that may be used. */
  | 'no-upstream'
  /** No node could be found that owns one of the service's shards. */
  | 'no-owner'
  /** The upstream refused to start the request. */
  | 'shed'
  | 'retry-budget-spent'
  /** The node's configuration is too old to serve requests with. */
  | 'config-stale'
  /** The node is draining. */
  | 'leaving'
  /** The time within which a request may start under the key has passed. */
  | 'key-expired'
  /** The key was used before with a different request. */
  | 'key-body-mismatch'
  /** The key's home has no room to record another request. */
  | 'ledger-full'
  | 'log-unavailable'
  | 'claim-lost'
  | 'connect-failed'
  | 'cancelled'
  | 'body-too-large';

/** The reason why it is not known whether a request ran. */
export type UnknownReason =
  /** The key's home has died, and its record of the key is lost. */
  | 'home-gone'
  /** The key's home can't be reached at present. */
  | 'home-unreachable'
  /** The node no longer keeps its record of the key. */
  | 'key-forgotten'
  /** The connection to the node that served the request failed. */
  | 'peer-lost'
  /** The upstream failed after the request had been sent to it. */
  | 'upstream-lost'
  | 'timeout'
  | 'truncated'
  | 'mismatched'
  /** An earlier send under the same key has not ended yet. */
  | 'in-flight'
  /** The request ran, but its answer was too large to be kept for a retry. */
  | 'answer-not-kept'
  /**
   * This send did not run, but whether another send under the same key ran can't be read from the
   * platform log. Concerns keys that callers made up themselves.
   */
  | 'log-unavailable';

/** The outcome of a request. `unknown`: it may have run once or not at all; it is not run again. */
export type Outcome =
  | { readonly kind: 'done' }
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      /** Time that the caller should wait before it sends the request again. */
      readonly retryAfter: Millis;
    }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason; readonly retryAfter: Millis };

/** Any outcome in which the caller gets no answer of an upstream. */
export type Refusal = Exclude<Outcome, { kind: 'done' }>;

export const notRunOutcome = (reason: NotRunReason, retryAfter: Millis = 0): Refusal => ({
  kind: 'not-run',
  reason,
  retryAfter,
});

export const unknownOutcome = (reason: UnknownReason, retryAfter: Millis = 0): Refusal => ({
  kind: 'unknown',
  reason,
  retryAfter,
});
