import { hashOf, pairHash } from '../hash';

import type { RequestDigest } from './request-digest';

/**
 * Returns the address of the one host that tries a held request, the same at all hosts that know
 * the same addresses; undefined if there are none.
 */
export const trialHostOf = (
  digest: RequestDigest,
  addresses: readonly string[],
): string | undefined => {
  const digestHash = hashOf(digest);
  const rankOf = (address: string): number => pairHash(digestHash, hashOf(address));
  return [...addresses].sort((a, b) => rankOf(b) - rankOf(a) || (a < b ? -1 : 1))[0];
};
