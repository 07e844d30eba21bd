import {
  unknownOutcome,
  type AttemptResult,
  type Millis,
  type Refusal,
  type UnknownReason,
} from '../model';

/** Retry-after time in milliseconds after a failed attempt; short, as other upstreams can serve. */
const RETRY_AFTER_MS: Millis = 500;

/** The reason for another attempt: the result of the failed one, or a hedge. */
export type RetryReason = AttemptResult['kind'] | 'hedge';

/** The step after an attempt without a complete answer. */
export type RetryDecision =
  | { readonly kind: 'retry'; readonly reason: RetryReason }
  | { readonly kind: 'give-up'; readonly outcome: Refusal };

/** A failed attempt and whether it may have run. */
export interface FailedAttempt {
  readonly result: AttemptResult;
  /** `no` if the upstream certainly did not start the call. */
  readonly ran: 'no' | 'maybe';
}

const unknownReason = (result: AttemptResult): UnknownReason => {
  switch (result.kind) {
    case 'timeout':
    case 'truncated':
    case 'mismatched':
      return result.kind;
    case 'ok':
    case 'error-status':
    case 'shed':
    case 'connect-failed':
    case 'reset':
    case 'cancelled':
      return 'upstream-lost';
  }
};

/** Returns whether another attempt is safe: the call did not run, or may run twice. */
export const mayRetry = (idempotent: boolean, { result, ran }: FailedAttempt): boolean => {
  if (result.kind === 'timeout' || result.kind === 'cancelled') return false;
  return idempotent || ran === 'no';
};

/** Returns the outcome that the caller gets after the last attempt failed. */
export const finalOutcome = ({ result, ran }: FailedAttempt): Refusal => {
  if (ran === 'maybe') return unknownOutcome(unknownReason(result), RETRY_AFTER_MS);
  switch (result.kind) {
    case 'shed':
    case 'connect-failed':
    case 'cancelled':
      return { kind: 'not-run', reason: result.kind, retryAfter: RETRY_AFTER_MS };
    case 'timeout':
      return { kind: 'not-run', reason: 'deadline-passed', retryAfter: RETRY_AFTER_MS };
    case 'ok':
    case 'error-status':
    case 'reset':
    case 'truncated':
    case 'mismatched':
      return unknownOutcome(unknownReason(result), RETRY_AFTER_MS);
  }
};

/** Decides between a retry and giving up; `hasBudget` is called only when a retry is safe. */
export const decideRetry = (
  idempotent: boolean,
  failed: FailedAttempt,
  hasBudget: () => boolean,
): RetryDecision => {
  if (mayRetry(idempotent, failed) && hasBudget()) {
    return { kind: 'retry', reason: failed.result.kind };
  }
  return { kind: 'give-up', outcome: finalOutcome(failed) };
};
