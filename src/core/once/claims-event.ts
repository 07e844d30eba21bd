/** What a range of bare keys is told, and what it asks for. */
import type { CallId, Incarnation, Instant, Refusal, WorkspaceName } from '../../model';

import type { AttemptNumber, ClaimRecord, KeyDigest } from './claim-record';
import type { Fingerprint, KeptAnswer, Settlement } from './ledger-entry';

/** A call under a bare key whose body has been read. */
export interface CallerKeyCall {
  readonly callId: CallId;
  readonly workspace: WorkspaceName;
  readonly key: string;
  readonly digest: KeyDigest;
  readonly fingerprint: Fingerprint;
  readonly deadline: Instant;
  /** Used if the key is claimed for this call. */
  readonly attempt: AttemptNumber;
}

export type ClaimsEvent =
  | { readonly kind: 'open' }
  | { readonly kind: 'call'; readonly call: CallerKeyCall }
  /** The caller's deadline has come, or it is gone. */
  | { readonly kind: 'leave'; readonly callId: CallId }
  /** Records from `from` on; `next` is the offset after the log's last. */
  | {
      readonly kind: 'read';
      readonly from: number;
      readonly values: readonly unknown[];
      readonly next: number;
    }
  | { readonly kind: 'read-trimmed'; readonly first: number }
  | { readonly kind: 'read-failed' }
  | { readonly kind: 'appended' }
  /** `sure`: the record is not in the log and never will be. */
  | { readonly kind: 'append-failed'; readonly sure: boolean }
  | { readonly kind: 'settle'; readonly call: CallerKeyCall; readonly settlement: Settlement }
  | { readonly kind: 'tick' };

export type ClaimsEffect =
  /** Read on from `from`, not before `notBefore`; `patient` when the end was reached before. */
  | {
      readonly kind: 'read';
      readonly from: number;
      readonly notBefore: Instant;
      readonly patient: boolean;
    }
  | { readonly kind: 'append'; readonly record: ClaimRecord }
  /** Run the call, once, and report its end as a `settle` event. */
  | { readonly kind: 'run'; readonly call: CallerKeyCall }
  | { readonly kind: 'replay'; readonly callId: CallId; readonly answer: KeptAnswer }
  | { readonly kind: 'refuse'; readonly callId: CallId; readonly outcome: Refusal }
  /** Pass the call to the node that claimed its key first. */
  | { readonly kind: 'ask'; readonly callId: CallId; readonly claimant: Incarnation };
