/** Keys of a range that are on their way to being run, and the range's bounds. */
import type { Instant, Millis } from '../../model';

import type { ClaimHorizon } from './claim-index';
import type { CallerKeyCall } from './claims-event';
import type { LedgerLimits } from './ledger-entry';

/** Bounds of a range. */
export interface ClaimLimits extends ClaimHorizon {
  /** Least time between two appends to one range. */
  readonly appendInterval: Millis;
  readonly maxBatch: number;
  /** Keys of one range that wait for their claim. */
  readonly maxPending: number;
}

export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
  horizon: 86_400_000,
  clockSkew: 300_000,
  appendInterval: 250,
  maxBatch: 512,
  maxPending: 4096,
};

/** A key on its way to being run here. */
export interface Pending {
  readonly call: CallerKeyCall;
  /** `won`: the claim is the first, and no call has been live to run it. */
  readonly phase: 'queued' | 'sent' | 'won';
  /** Whether an append of the claim was unsure: it may be in the log, or come into it late. */
  readonly unsure: boolean;
  /** Past it, this attempt never runs. */
  readonly until: Instant;
}

/** The bounds of the ledger of a claimant's runs: an entry is kept for the horizon. */
export const claimLedgerLimits = (claims: ClaimLimits, ledger: LedgerLimits): LedgerLimits => ({
  ...ledger,
  startWindow: claims.horizon,
  retention: 0,
});
