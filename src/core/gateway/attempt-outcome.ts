import type { AttemptVerdict } from '../placement';

/** What an attempt at an upstream came to. */
export type AttemptOutcome =
  /** The upstream's own answer, other than a failure. */
  | { readonly kind: 'served' }
  /** The upstream's own word that it failed; the request has run. */
  | { readonly kind: 'failed'; readonly status: number }
  /** The request has not run and never will. */
  | { readonly kind: 'not-run'; readonly why: 'shed' | 'misdirected' | 'unreachable' }
  /** The request may have run; there is no answer that could be passed on. */
  | { readonly kind: 'unknown'; readonly why: string }
  /** The caller has left. */
  | { readonly kind: 'cancelled' };

/** What is known of a request when an attempt has ended. */
export interface RetryContext {
  readonly idempotent: boolean;
  /** Upstreams that it has run on, or may have. */
  readonly runs: number;
  readonly maxRuns: number;
  /** Whether enough time is left for another attempt. */
  readonly hasTime: boolean;
}

/** What comes next: one more attempt, or the end. */
export type NextStep =
  | { readonly kind: 'end' }
  /** `counted`: the first attempt reached an upstream, so that the next one is a repeat. */
  | { readonly kind: 'repeat'; readonly counted: boolean };

/**
 * Whether a request goes to another upstream. What is not idempotent goes on only when it is known
 * not to have run.
 */
export const nextStep = (outcome: AttemptOutcome, question: RetryContext): NextStep => {
  const { idempotent, runs, maxRuns, hasTime } = question;
  switch (outcome.kind) {
    case 'served':
    case 'cancelled':
      return { kind: 'end' };
    case 'not-run':
      return hasTime ? { kind: 'repeat', counted: outcome.why !== 'unreachable' } : { kind: 'end' };
    case 'failed':
    case 'unknown':
      return idempotent && hasTime && runs < maxRuns
        ? { kind: 'repeat', counted: true }
        : { kind: 'end' };
  }
};

/** Why of an attempt that was reset on a connection that the upstream may have dropped before. */
export const STALE_CONNECTION = 'stale-connection';

/** A failure within this part of the usual latency comes before the work can have been done. */
const EARLY_FAILURE_LATENCY_RATIO = 0.25;

const failureVerdict = (ratio: number): AttemptVerdict => ({
  kind: 'evidence',
  evidence: ratio <= EARLY_FAILURE_LATENCY_RATIO ? 'failed-early' : 'failed-late',
});

/** What an attempt says of its upstream. `ratio`: what it took, in parts of the usual latency. */
export const verdictOf = (outcome: AttemptOutcome, ratio: number): AttemptVerdict => {
  switch (outcome.kind) {
    case 'served':
      return { kind: 'evidence', evidence: 'good' };
    case 'unknown':
      // Says little of the upstream, though it comes early.
      if (outcome.why === STALE_CONNECTION) return { kind: 'evidence', evidence: 'failed-late' };
      return failureVerdict(ratio);
    case 'failed':
      return failureVerdict(ratio);
    case 'not-run':
      return { kind: outcome.why === 'shed' ? 'busy' : 'unreachable' };
    case 'cancelled':
      return { kind: 'none' };
  }
};
