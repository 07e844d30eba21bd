import type { Millis } from '../model';

const MAX_SAMPLE_COUNT = 128;
const MIN_SAMPLE_COUNT = 20;
/** Quantile of recent latencies, 0 to 1, that the delay is based on. */
const HEDGE_QUANTILE = 0.95;
/** Ratio of the delay to that quantile. */
const HEDGE_DELAY_RATIO = 1.5;

/** Minimum delay in milliseconds; earlier, the first answer may be about to arrive. */
const MIN_HEDGE_DELAY_MS: Millis = 20;

/** Computes the delay of a hedged second attempt from recent latencies. */
export class HedgeDelay {
  private readonly samples: Millis[] = [];

  private nextIndex = 0;

  private delay: Millis | undefined;

  /** Records the latency in milliseconds of a complete answer. */
  record(latency: Millis): void {
    this.samples[this.nextIndex] = latency;
    this.nextIndex = (this.nextIndex + 1) % MAX_SAMPLE_COUNT;
    this.delay = undefined;
  }

  /**
   * Returns the delay in milliseconds from the first attempt's start; undefined with few samples.
   */
  get(): Millis | undefined {
    if (this.samples.length < MIN_SAMPLE_COUNT) return undefined;
    this.delay ??= this.compute();
    return this.delay;
  }

  private compute(): Millis {
    const sorted = [...this.samples].sort((a, b) => a - b);
    const quantile = sorted[Math.floor(sorted.length * HEDGE_QUANTILE)] ?? MIN_HEDGE_DELAY_MS;
    return Math.max(MIN_HEDGE_DELAY_MS, quantile * HEDGE_DELAY_RATIO);
  }
}
