import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const STEP_COUNT = 2 ** 30;

/** A uniform draw from 0 to 1, 1 excluded. */
export const randomUnit = (rng: RandomGenerator): number =>
  uniformInt(rng, 0, STEP_COUNT - 1) / STEP_COUNT;
