import type { Refusal } from '../model';

/** The destination to which a call refused by one node may be sent next. */
export type NextHop =
  /** Another node for the same shard; no retry budget needed, as no upstream got the call. */
  | { readonly kind: 'standby' }
  /** Another node for the same shard; a retry of an idempotent call within the retry budget. */
  | { readonly kind: 'standby-by-budget' }
  /** Another shard of the service, within the retry budget. */
  | { readonly kind: 'other-shard-by-budget' }
  | { readonly kind: 'none' };

/**
 * Returns where a refused call may go next. `unsent` means that the link to the node failed before
 * the call was sent, so the refusal says nothing about the shard.
 */
export const nextHop = (idempotent: boolean, outcome: Refusal, unsent: boolean): NextHop => {
  if (outcome.kind === 'unknown') {
    const isLink = outcome.reason === 'peer-lost';
    return isLink && idempotent ? { kind: 'standby-by-budget' } : { kind: 'none' };
  }
  switch (outcome.reason) {
    case 'leaving':
    case 'config-stale':
    case 'no-owner':
    case 'no-upstream':
      // A node may be cut off from upstreams that other nodes reach.
      return { kind: 'standby' };
    case 'connect-failed':
      return unsent ? { kind: 'standby' } : { kind: 'none' };
    case 'queue-full':
    case 'wait-exceeds-deadline':
    case 'shed':
      return { kind: 'other-shard-by-budget' };
    case 'bad-request':
    case 'unknown-route':
    case 'deadline-passed':
    case 'workspace-over-share':
    case 'retry-budget-spent':
    case 'key-expired':
    case 'key-body-mismatch':
    case 'ledger-full':
    case 'log-unavailable':
    case 'claim-lost':
    case 'cancelled':
    case 'body-too-large':
      return { kind: 'none' };
  }
};
