import type { Millis } from '../model';

const MAX_SAMPLE_COUNT = 128;
const MIN_SAMPLE_COUNT = 20;
const HEDGE_QUANTILE = 0.95;
const HEDGE_DELAY_RATIO = 1.5;

/** No hedge is sent before this, as the first answer may be about to arrive. */
const MIN_HEDGE_DELAY_MS: Millis = 20;

/** The time after which a second attempt at a read is worth its cost, from recent latencies. */
export class HedgeDelay {
  private readonly samples: Millis[] = [];

  private nextIndex = 0;

  private delay: Millis | undefined;

  /** Takes the latency of a whole answer. */
  record(latency: Millis): void {
    this.samples[this.nextIndex] = latency;
    this.nextIndex = (this.nextIndex + 1) % MAX_SAMPLE_COUNT;
    this.delay = undefined;
  }

  /** Milliseconds after the start of the first attempt; none until there is enough to go by. */
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
