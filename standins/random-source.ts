import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32_SPAN = 2 ** 32;

/** Seeded draws, so that a run can be repeated. */
export interface RandomSource {
  /** Uniform in 0 to 1, 1 excluded. */
  next(): number;
  /** True with this probability. */
  hit(ratio: number): boolean;
}

export const seededRandom = (seed: number): RandomSource => {
  const rng = xoroshiro128plus(seed);
  const next = (): number => (rng.next() >>> 0) / UINT32_SPAN;
  return { next, hit: (ratio) => ratio > 0 && next() < ratio };
};
