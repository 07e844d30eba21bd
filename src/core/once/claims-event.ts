/** Events that a range of caller keys handles, and effects that it returns. */
import type { CallId, Incarnation, Instant, Refusal, WorkspaceName } from '../../model';

import type { AttemptNumber, ClaimRecord, KeyDigest } from './claim-record';
import type { Fingerprint, KeptAnswer, Settlement } from './ledger-entry';

/** A call with a caller key (no home prefix) whose request body has been read. */
export interface CallerKeyCall {
  readonly callId: CallId;
  readonly workspace: WorkspaceName;
  readonly key: string;
  readonly digest: KeyDigest;
  readonly fingerprint: Fingerprint;
  readonly deadline: Instant;
  /** Attempt number to claim the key with, if it is claimed for this call. */
  readonly attempt: AttemptNumber;
}

/** Events that a range of caller keys handles. `open` starts the range. */
export type ClaimsEvent =
  | { readonly kind: 'open' }
  | { readonly kind: 'call'; readonly call: CallerKeyCall }
  /** The caller's deadline has passed, or the caller has disconnected. */
  | { readonly kind: 'leave'; readonly callId: CallId }
  /** Records at `from` and the offsets after it; `next` is the offset of the next append. */
  | {
      readonly kind: 'read';
      readonly from: number;
      readonly values: readonly unknown[];
      readonly next: number;
    }
  /** The offset to read was trimmed; `first` is the oldest offset in the log. */
  | { readonly kind: 'read-trimmed'; readonly first: number }
  | { readonly kind: 'read-failed' }
  | { readonly kind: 'appended' }
  /** `isDefinite` says that the record is not in the log and never will be. */
  | { readonly kind: 'append-failed'; readonly isDefinite: boolean }
  /** The run of a call has ended with `settlement`. */
  | { readonly kind: 'settle'; readonly call: CallerKeyCall; readonly settlement: Settlement }
  | { readonly kind: 'tick' };

/** Effects that a range of caller keys asks for. */
export type ClaimsEffect =
  /**
   * Read the log at `from`, not before `notBefore`. `longPoll` asks the read to wait for a record,
   * because the end of the log was reached before.
   */
  | {
      readonly kind: 'read';
      readonly from: number;
      readonly notBefore: Instant;
      readonly longPoll: boolean;
    }
  | { readonly kind: 'append'; readonly record: ClaimRecord }
  /** Run the call once and report its result as a `settle` event. */
  | { readonly kind: 'run'; readonly call: CallerKeyCall }
  /** Answer the call with the recorded answer of its key. */
  | { readonly kind: 'replay'; readonly callId: CallId; readonly answer: KeptAnswer }
  | { readonly kind: 'refuse'; readonly callId: CallId; readonly outcome: Refusal }
  /** Forward the call to the node that claimed its key first. */
  | { readonly kind: 'ask'; readonly callId: CallId; readonly claimant: Incarnation };
