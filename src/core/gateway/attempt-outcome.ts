import type { AttemptVerdict } from '../placement';

/** The result of an attempt to send a request to an upstream. */
export type AttemptOutcome =
  /** The upstream answered, and the status is not a failure. */
  | { readonly kind: 'served' }
  /** The upstream executed the request and answered with a failure status. */
  | { readonly kind: 'failed'; readonly status: number }
  /** The upstream has not executed the request and never will. */
  | { readonly kind: 'not-run'; readonly why: 'shed' | 'misdirected' | 'unreachable' | 'held-back' }
  /** The upstream may have executed the request, and there is no answer to forward. */
  | { readonly kind: 'unknown'; readonly why: string }
  /** The attempt was cancelled, such as when the caller closed its connection. */
  | { readonly kind: 'cancelled' };

/** The facts about a request that decide on a retry after an attempt has ended. */
export interface RetryContext {
  readonly idempotent: boolean;
  /** Number of attempts so far in which an upstream executed the request or may have. */
  readonly runs: number;
  /** Upper bound of `runs`. */
  readonly maxRuns: number;
  /** Whether enough time is left before the deadline for another attempt. */
  readonly hasTime: boolean;
}

/** The step after an attempt: `repeat` is one more attempt, `end` none. */
export type NextStep =
  | { readonly kind: 'end' }
  /**
   * `counted` tells whether the next attempt counts against the retry budget; it does if this one
   * reached an upstream.
   */
  | { readonly kind: 'repeat'; readonly counted: boolean };

/**
 * Returns whether a request is sent to another upstream. A request that is not idempotent is
 * retried only if it is known not to have been executed.
 */
export const nextStep = (outcome: AttemptOutcome, context: RetryContext): NextStep => {
  const { idempotent, runs, maxRuns, hasTime } = context;
  switch (outcome.kind) {
    case 'served':
    case 'cancelled':
      return { kind: 'end' };
    case 'not-run':
      return hasTime
        ? { kind: 'repeat', counted: outcome.why !== 'unreachable' && outcome.why !== 'held-back' }
        : { kind: 'end' };
    case 'failed':
    case 'unknown':
      return idempotent && hasTime && runs < maxRuns
        ? { kind: 'repeat', counted: true }
        : { kind: 'end' };
  }
};

/**
 * The `why` of an attempt reset on a reused connection that the upstream may have closed before the
 * request came.
 */
export const STALE_CONNECTION = 'stale-connection';

/** The `why` of an attempt whose answer this host had no memory for, which is not its upstream's fault. */
export const MEMORY_SHORT = 'memory-short';

/**
 * Ratio to the mean latency up to which a failure is too early for the request to have been
 * processed.
 */
const EARLY_FAILURE_LATENCY_RATIO = 0.25;

const failureVerdict = (ratio: number): AttemptVerdict => ({
  kind: 'evidence',
  evidence: ratio <= EARLY_FAILURE_LATENCY_RATIO ? 'failed-early' : 'failed-late',
});

/**
 * Returns the conclusion about the upstream. `ratio` is the attempt's time over the mean latency.
 */
export const verdictOf = (outcome: AttemptOutcome, ratio: number): AttemptVerdict => {
  switch (outcome.kind) {
    case 'served':
      return { kind: 'evidence', evidence: 'good' };
    case 'unknown':
      // An early reset on a stale connection is only weak evidence of a fault.
      if (outcome.why === STALE_CONNECTION) return { kind: 'evidence', evidence: 'failed-late' };
      if (outcome.why === MEMORY_SHORT) return { kind: 'none' };
      return failureVerdict(ratio);
    case 'failed':
      return failureVerdict(ratio);
    case 'not-run':
      if (outcome.why === 'held-back') return { kind: 'none' };
      return { kind: outcome.why === 'shed' ? 'busy' : 'unreachable' };
    case 'cancelled':
      return { kind: 'none' };
  }
};
