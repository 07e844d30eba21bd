import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Number of values of an unsigned 32-bit integer. */
const UINT32_VALUE_COUNT = 2 ** 32;

/** A stream of random numbers that is the same for the same seed. */
export interface RandomSource {
  /** Returns the next number, uniform in 0 to 1, 1 excluded. */
  next(): number;
  /** Returns true with probability `ratio`; a ratio of 0 or less consumes no number. */
  nextBoolean(ratio: number): boolean;
}

/** Returns a random source for a seed. */
export const seededRandom = (seed: number): RandomSource => {
  const rng = xoroshiro128plus(seed);
  const next = (): number => (rng.next() >>> 0) / UINT32_VALUE_COUNT;
  return { next, nextBoolean: (ratio) => ratio > 0 && next() < ratio };
};
