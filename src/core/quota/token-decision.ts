import type { Instant, Millis } from '../../model';

import type { LeasedToken, TokenStock } from './token-stock';

/** The decision on one request; `retryAfter` is in milliseconds. */
export type TokenDecision =
  | { readonly kind: 'granted'; readonly token: LeasedToken }
  | { readonly kind: 'exceeded'; readonly retryAfter: Millis }
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis };

/** Retry-After in milliseconds while no allocator can be asked. */
const UNAVAILABLE_RETRY_AFTER_MS: Millis = 500;
/** Shortest Retry-After in milliseconds of a quota that is used up. */
const MIN_RETRY_AFTER_MS: Millis = 20;

/** Returns the decision on a request for which there is no token. */
export const refusalOf = ({ nextAt }: TokenStock, now: Instant): TokenDecision =>
  nextAt === undefined
    ? { kind: 'unavailable', retryAfter: UNAVAILABLE_RETRY_AFTER_MS }
    : { kind: 'exceeded', retryAfter: Math.max(MIN_RETRY_AFTER_MS, nextAt - now) };
