import {
  unknownOutcome,
  type AttemptResult,
  type Millis,
  type Refusal,
  type UnknownReason,
} from '../model';

/** When a caller may come back after a failure at one upstream; others serve in the meantime. */
const RETRY_AFTER: Millis = 500;

/** Why a call may be sent once more. */
export type RetryReason = AttemptResult['kind'] | 'hedge';

/** What to do after an attempt that brought no whole answer. */
export type AfterFailure =
  | { readonly kind: 'retry'; readonly reason: RetryReason }
  | { readonly kind: 'give-up'; readonly outcome: Refusal };

/** A failed attempt, as the decision needs it. */
export interface FailedAttempt {
  readonly result: AttemptResult;
  /** `no`: it is certain that the upstream did not start. */
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

/** Whether a failed attempt may be followed by another: it did not run, or running twice is safe. */
export const mayRetry = (idempotent: boolean, { result, ran }: FailedAttempt): boolean => {
  if (result.kind === 'timeout' || result.kind === 'cancelled') return false;
  return idempotent || ran === 'no';
};

/** What the caller is told of a call whose last attempt failed. */
export const finalOutcome = ({ result, ran }: FailedAttempt): Refusal => {
  if (ran === 'maybe') return unknownOutcome(unknownReason(result), RETRY_AFTER);
  switch (result.kind) {
    case 'shed':
    case 'connect-failed':
    case 'cancelled':
      return { kind: 'not-run', reason: result.kind, retryAfter: RETRY_AFTER };
    case 'timeout':
      return { kind: 'not-run', reason: 'deadline-passed', retryAfter: RETRY_AFTER };
    case 'ok':
    case 'error-status':
    case 'reset':
    case 'truncated':
    case 'mismatched':
      return unknownOutcome(unknownReason(result), RETRY_AFTER);
  }
};

/** The step after a failure, given whether the call may be repeated within the retry budget. */
export const afterFailure = (
  idempotent: boolean,
  failed: FailedAttempt,
  hasBudget: () => boolean,
): AfterFailure => {
  if (mayRetry(idempotent, failed) && hasBudget()) {
    return { kind: 'retry', reason: failed.result.kind };
  }
  return { kind: 'give-up', outcome: finalOutcome(failed) };
};
