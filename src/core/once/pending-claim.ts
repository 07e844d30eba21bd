/** Claims that are not decided yet, and the limits of a range of caller keys. */
import type { Instant, Millis } from '../../model';

import type { ClaimHorizon } from './claim-index';
import type { CallerKeyCall } from './claims-event';
import type { LedgerLimits } from './ledger-entry';

/** Limits of one range of caller keys. */
export interface ClaimLimits extends ClaimHorizon {
  /** Minimum time in milliseconds between two appends to one range. */
  readonly appendInterval: Millis;
  /** Maximum number of claims in one record. */
  readonly maxBatch: number;
  /** Maximum number of keys of one range that wait for their claim. */
  readonly maxPending: number;
}

export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
  horizon: 86_400_000,
  clockSkew: 300_000,
  appendInterval: 250,
  maxBatch: 512,
  maxPending: 4096,
};

/** A claim that this node has queued, sent or won, and whose request has not run yet. */
export interface PendingClaim {
  /** The first call under the key; its attempt number is the one in the claim. */
  readonly call: CallerKeyCall;
  /**
   * `queued`: waits for an append; `sent`: has been appended or is being appended; `won`: is the
   * first claim in the log, and no call has been able to run it yet.
   */
  readonly phase: 'queued' | 'sent' | 'won';
  /** Whether an append of the claim had no definite result, so that it may reach the log late. */
  readonly mayBeInLog: boolean;
  /** The attempt never runs after this time. */
  readonly until: Instant;
}

/** Returns the limits of the ledger of a claimant's runs, which keeps an entry for the horizon. */
export const claimLedgerLimits = (claims: ClaimLimits, ledger: LedgerLimits): LedgerLimits => ({
  ...ledger,
  startWindow: claims.horizon,
  retention: 0,
});
