/**
 * Formats and parses homed keys, `h1.<incarnation>.<startBefore>.<token>`. A node (the home) issues
 * the prefix up to the token, and a caller adds its own token.
 */
import { type Either, Left, Right } from 'purify-ts';

import type { Incarnation, Instant, IdempotencyKey, Millis } from '../../model';

const KEY_SCHEME = 'h1';
const START_BEFORE_RADIX = 36;
/** Maximum length of a token in characters. */
const MAX_TOKEN_LENGTH = 128;
const INCARNATION_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
/** Matches a start deadline in base 36 without leading zeros, below 2^53. */
const START_BEFORE_PATTERN = /^(0|[1-9a-z][0-9a-z]{0,9})$/;
/** Matches visible ASCII characters. */
const TOKEN_PATTERN = /^[!-~]+$/;

/** A key that starts with a prefix which its home issued. */
export type HomedKey = Extract<IdempotencyKey, { kind: 'homed' }>;

/** Errors of parsing: the key has another form, or the named part is malformed. */
export type HomedKeyError =
  | { readonly kind: 'not-homed' }
  | {
      readonly kind: 'malformed-homed-key';
      readonly part: 'incarnation' | 'start-before' | 'token';
    };

const malformed = (
  part: 'incarnation' | 'start-before' | 'token',
): Either<HomedKeyError, HomedKey> => Left({ kind: 'malformed-homed-key', part });

/** Returns whether a key starts as homed keys do; only then is a parse error the caller's fault. */
export const hasHomedScheme = (key: string): boolean => key.startsWith(`${KEY_SCHEME}.`);

/**
 * Returns the prefix that `home` issues at `now` on its own clock, to which a caller adds a token.
 * No request with the prefix is started after `now + startWindow` (milliseconds).
 */
export const formatKeyPrefix = (home: Incarnation, now: Instant, startWindow: Millis): string =>
  `${KEY_SCHEME}.${home}.${Math.floor(now + startWindow).toString(START_BEFORE_RADIX)}.`;

/** Parses a caller's key. Each homed key has exactly one accepted spelling. */
export const parseHomedKey = (key: string): Either<HomedKeyError, HomedKey> => {
  if (!hasHomedScheme(key)) return Left({ kind: 'not-homed' });
  const [, home = '', start = '', ...rest] = key.split('.');
  const token = rest.join('.');
  if (!INCARNATION_PATTERN.test(home)) return malformed('incarnation');
  if (!START_BEFORE_PATTERN.test(start)) return malformed('start-before');
  if (!TOKEN_PATTERN.test(token) || token.length > MAX_TOKEN_LENGTH) return malformed('token');
  return Right({ kind: 'homed', key, home, startBefore: parseInt(start, START_BEFORE_RADIX) });
};
