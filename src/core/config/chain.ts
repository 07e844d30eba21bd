const FNV_PRIME = 0x01000193;
const LOW_SEED = 0x811c9dc5;
const HIGH_SEED = 0x9747b28c;
const RADIX = 36;

/** Chain hash before the first accepted change. */
export const EMPTY_CHAIN = '0';

/** Returns a 32-bit hash (FNV-1a, then mixed). Detects errors, but not deliberate collisions. */
export const hash32 = (text: string, seed: number = LOW_SEED): number => {
  let hash = seed;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return hash >>> 0;
};

/**
 * Returns the chain hash after the change `publishId` was accepted at `offset`. Readers with
 * equal hashes have accepted the same changes at the same offsets, except for a hash collision.
 */
export const extendChain = (chain: string, offset: number, publishId: string): string => {
  const text = `${chain} ${offset} ${publishId}`;
  return hash32(text).toString(RADIX) + hash32(text, HIGH_SEED).toString(RADIX);
};
