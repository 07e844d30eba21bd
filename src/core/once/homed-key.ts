/** Homed keys, `h1.<incarnation>.<startBefore>.<token>`: their form and their prefixes. */
import { type Either, Left, Right } from 'purify-ts';

import type { Incarnation, Instant, IdempotencyKey, Millis } from '../../model';

const SCHEME = 'h1';
const START_RADIX = 36;
const MAX_TOKEN_LENGTH = 128;
const INCARNATION = /^[A-Za-z0-9_-]{1,64}$/;
/** Base 36 without leading zeros, below 2^53. */
const START_BEFORE = /^(0|[1-9a-z][0-9a-z]{0,9})$/;
/** Visible ASCII. */
const TOKEN = /^[!-~]+$/;

/** A key under a prefix that its home issued. */
export type HomedKey = Extract<IdempotencyKey, { kind: 'homed' }>;

export type HomedKeyError =
  | { readonly kind: 'not-homed' }
  | {
      readonly kind: 'malformed-homed-key';
      readonly part: 'incarnation' | 'start-before' | 'token';
    };

const malformed = (
  part: 'incarnation' | 'start-before' | 'token',
): Either<HomedKeyError, HomedKey> => Left({ kind: 'malformed-homed-key', part });

/** Whether a caller's key claims to be homed; only then is a parse error the caller's fault. */
export const looksHomed = (key: string): boolean => key.startsWith(`${SCHEME}.`);

/**
 * The prefix that `home` hands out at `now` (its own clock), to which a caller adds its token.
 * Nothing starts under it after `now + startWindow`.
 */
export const formatKeyPrefix = (home: Incarnation, now: Instant, startWindow: Millis): string =>
  `${SCHEME}.${home}.${Math.floor(now + startWindow).toString(START_RADIX)}.`;

/** Reads a caller's key; each key has one spelling. */
export const parseHomedKey = (key: string): Either<HomedKeyError, HomedKey> => {
  if (!looksHomed(key)) return Left({ kind: 'not-homed' });
  const [, home = '', start = '', ...rest] = key.split('.');
  const token = rest.join('.');
  if (!INCARNATION.test(home)) return malformed('incarnation');
  if (!START_BEFORE.test(start)) return malformed('start-before');
  if (!TOKEN.test(token) || token.length > MAX_TOKEN_LENGTH) return malformed('token');
  return Right({ kind: 'homed', key, home, startBefore: parseInt(start, START_RADIX) });
};
