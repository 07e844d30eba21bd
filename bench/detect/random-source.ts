import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32 = 2 ** 32;

/** Draws random numbers of several distributions from one seeded generator. */
export class RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number uniform in (0, 1), both ends excluded. */
  uniform(): number {
    return ((this.generator.next() >>> 0) + 0.5) / UINT32;
  }

  /** Returns true with the given probability, 0 to 1. */
  happens(probability: number): boolean {
    return this.uniform() < probability;
  }

  /** Returns an integer uniform in [0, limit). */
  below(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }

  exponential(mean: number): number {
    return -Math.log(this.uniform()) * mean;
  }

  /** Returns a log-normal number; `sigma` is the standard deviation of its logarithm. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(this.uniform()));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()));
  }
}
