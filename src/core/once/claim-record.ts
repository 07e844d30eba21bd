/** Records of claims on caller keys, as stored in the log. */
import { type Either, Left, Right } from 'purify-ts';

import type { Incarnation, WallTime } from '../../model';

/** Digest of a workspace and a caller's key. */
export type KeyDigest = string;

/** Number of one of a claimant's attempts to claim; one incarnation never uses a number twice. */
export type AttemptNumber = number;

/** A batch of claims. Of all claims on a key, only the one at the lowest offset permits a run. */
export interface ClaimRecord {
  readonly claimant: Incarnation;
  /** Wall time of the claimant when the batch was sent. */
  readonly stamp: WallTime;
  /** All records below this offset were in the log at the time of `stamp`. */
  readonly through: number;
  readonly claims: readonly (readonly [KeyDigest, AttemptNumber])[];
}

/** The error for a record of the wrong shape. */
export interface ClaimRecordError {
  readonly kind: 'malformed-claim-record';
}

const isClaim = (value: unknown): boolean =>
  Array.isArray(value) &&
  value.length === 2 &&
  typeof value[0] === 'string' &&
  Number.isSafeInteger(value[1]);

/** Checks a record read from the log; returns `malformed-claim-record` when its shape is wrong. */
export const parseClaimRecord = (value: unknown): Either<ClaimRecordError, ClaimRecord> => {
  const malformed = Left({ kind: 'malformed-claim-record' as const });
  if (typeof value !== 'object' || value === null) return malformed;
  const { claimant, stamp, through, claims } = value as Readonly<Record<string, unknown>>;
  if (typeof claimant !== 'string' || !Number.isFinite(stamp)) return malformed;
  if (!Number.isSafeInteger(through) || !Array.isArray(claims)) return malformed;
  return claims.every(isClaim) ? Right(value as ClaimRecord) : malformed;
};
