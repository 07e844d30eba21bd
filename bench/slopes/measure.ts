import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** A size, and the value measured at it. */
export type Point = readonly [size: number, value: number];

/** A straight line fitted to points. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a value from the line, over the largest absolute value. */
  readonly residual: number;
}

/** Measurements of one cost of a role over the size that it grows with. */
export interface Slope {
  /** Part of a node, such as an owner or a member, that bears the cost. */
  readonly role: string;
  /** Name of the cost. */
  readonly what: string;
  /** Unit of the values. */
  readonly unit: string;
  /** Entities that the sizes count. */
  readonly per: string;
  readonly points: readonly Point[];
}

/** Fits a straight line by least squares. */
export const fitLine = (points: readonly Point[]): Fit => {
  const n = points.length;
  const sum = (pick: (point: Point) => number): number =>
    points.reduce((total, point) => total + pick(point), 0);
  const meanX = sum(([x]) => x) / n;
  const meanY = sum(([, y]) => y) / n;
  const sumOfSquares = sum(([x]) => (x - meanX) ** 2);
  const slope = sumOfSquares === 0 ? 0 : sum(([x, y]) => (x - meanX) * (y - meanY)) / sumOfSquares;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const distances = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
  return { slope, intercept, residual: Math.max(...distances) / largest };
};

/** Returns the bytes of heap and external memory in use after a garbage collection. */
export const memoryUsed = (): number => {
  collectGarbage();
  collectGarbage();
  const { heapUsed: heap, external } = process.memoryUsage();
  return heap + external;
};

/** Keeps the value whose memory is measured from being collected. */
const retained: { value: unknown } = { value: undefined };

/** Returns the bytes of memory that the value made by `make` retains. */
export const retainedBytes = (make: () => unknown): number => {
  make();
  const before = memoryUsed();
  retained.value = make();
  const after = memoryUsed();
  retained.value = undefined;
  return after - before;
};

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;

/**
 * Returns the microseconds that one of `count` runs of `work` takes: the median of several rounds.
 */
export const medianMicros = (
  work: (index: number) => unknown,
  count: number,
  rounds = 5,
): number => {
  if (rounds > 1) for (let i = 0; i < count; i++) work(i);
  const times = Array.from({ length: rounds }, () => {
    const start = performance.now();
    for (let i = 0; i < count; i++) work(i);
    return ((performance.now() - start) * 1000) / count;
  });
  return median(times);
};

/** Returns the integers from 0 to `count` - 1. */
export const range = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => index);

/** Returns the value below which a `share`, 0 to 1, of the values lies. */
export const quantile = (values: readonly number[], share: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) * share)] ?? NaN;
