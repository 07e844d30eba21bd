/** Constants of 32-bit FNV-1a, the MurmurHash3 finalizer and Fibonacci hashing. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;
const GOLDEN_RATIO = 0x9e3779b9;

/** Mixes the bits of a 32-bit value (MurmurHash3 finalizer); returns an unsigned integer. */
const finalize = (value: number): number => {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, MIX_1);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, MIX_2);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Returns a 32-bit hash, equal on every node. Not resistant to deliberate collisions. */
export const hashOf = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return finalize(hash);
};

/** Returns a 32-bit hash of an ordered pair of hashes, used as rendezvous weight. */
export const pairHash = (left: number, right: number): number =>
  finalize(Math.imul(left, GOLDEN_RATIO) ^ right);
