import type { Millis } from '../../model';

import type { CostEstimate } from './class-stats';

/** Bounds and steps of the table of remaining times, by dispersion and by time over the mean. */
const DISPERSION_STEP = 0.25;
const MAX_DISPERSION = 2;
const RATIO_STEP = 0.25;
const MAX_RATIO = 10;
/** Dispersion below which the table's values would be those of exact costs. */
const MIN_DISPERSION = 0.1;
/** Lowest ratio of the remaining time to the mean; estimates may be wrong. */
const MIN_REMAINING_RATIO = 0.05;

/** Returns the standard normal distribution function (Abramowitz and Stegun 26.2.17). */
export const normalCdf = (x: number): number => {
  const t = 1 / (1 + 0.2316419 * Math.abs(x));
  const density = Math.exp((-x * x) / 2) / Math.sqrt(2 * Math.PI);
  const tail =
    density *
    t *
    (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  return x >= 0 ? 1 - tail : tail;
};

/** Mean remaining time of a lognormal time of mean 1 that has lasted `ratio`. */
const lognormalRemaining = (ratio: number, dispersion: number): number => {
  if (ratio <= 0) return 1;
  const meanLog = (-dispersion * dispersion) / 2;
  const standardised = (meanLog - Math.log(ratio)) / dispersion;
  const longer = normalCdf(standardised);
  // Far beyond the mean the quotient below is 0/0; this is its limit.
  if (longer < 1e-6) return (ratio * dispersion) / Math.max(1, -standardised);
  return Math.max(MIN_REMAINING_RATIO, normalCdf(standardised + dispersion) / longer - ratio);
};

const RATIO_COUNT = MAX_RATIO / RATIO_STEP + 1;

const TABLE: readonly Float64Array[] = Array.from(
  { length: MAX_DISPERSION / DISPERSION_STEP + 1 },
  (_row, row) =>
    Float64Array.from({ length: RATIO_COUNT }, (_value, column) =>
      lognormalRemaining(column * RATIO_STEP, Math.max(MIN_DISPERSION, row * DISPERSION_STEP)),
    ),
);

/**
 * Returns the expected remaining time of a request that has run for `elapsed`. With widely
 * dispersed costs it grows with the time that the request has run, as that is then probably one of
 * the costly ones.
 */
export const expectedRemaining = (
  { expectedMs, dispersion }: Pick<CostEstimate, 'expectedMs' | 'dispersion'>,
  elapsed: Millis,
): Millis => {
  const row = TABLE[Math.min(TABLE.length - 1, Math.round(dispersion / DISPERSION_STEP))];
  const position = Math.min(MAX_RATIO, Math.max(0, elapsed / expectedMs)) / RATIO_STEP;
  const column = Math.floor(position);
  const lower = row?.[column] ?? 1;
  const upper = row?.[Math.min(RATIO_COUNT - 1, column + 1)] ?? lower;
  return expectedMs * (lower + (upper - lower) * (position - column));
};

/**
 * Returns the mean remaining time of a request that has run for an unknown time: half the mean of
 * the squared time over the mean time.
 */
export const meanRemaining = ({
  expectedMs,
  dispersion,
}: Pick<CostEstimate, 'expectedMs' | 'dispersion'>): Millis =>
  (expectedMs / 2) * Math.exp(Math.min(1, dispersion * dispersion));
