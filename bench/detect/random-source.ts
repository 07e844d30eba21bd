import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32 = 2 ** 32;

/** Draws from one seeded generator. */
export class RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniform in (0, 1). */
  uniform(): number {
    return ((this.generator.next() >>> 0) + 0.5) / UINT32;
  }

  happens(probability: number): boolean {
    return this.uniform() < probability;
  }

  below(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }

  exponential(mean: number): number {
    return -Math.log(this.uniform()) * mean;
  }

  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(this.uniform()));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()));
  }
}
