import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Number of distinct values that `randomUnit` returns. */
const STEP_COUNT = 2 ** 30;

/** Returns a uniformly distributed number from 0 to 1, excluding 1. */
export const randomUnit = (rng: RandomGenerator): number =>
  uniformInt(rng, 0, STEP_COUNT - 1) / STEP_COUNT;
