import type { Instant, Millis, UpstreamId } from '../../model';

const BIN_COUNT = 128;
/** Lower edge in milliseconds of the first bin, which also counts shorter latencies. */
const FIRST_BIN_LATENCY_MS: Millis = 0.25;
/** Width of a bin as the natural logarithm of a latency ratio. */
const BIN_LOG_WIDTH = Math.log(1.12);
/** Minimum number of peer latencies; hazards are 0 below it. */
const MIN_PEER_SAMPLE_COUNT = 20;
/** Minimum number of longer samples for which the empirical tail is used. */
const MIN_TAIL_SAMPLE_COUNT = 5;
/** Exponent of the Pareto tail assumed beyond the empirical part. */
const PARETO_TAIL_INDEX = 3;
/** Upper bound of the cumulative hazard, which has no unit. */
const MAX_HAZARD = 14;
const REFRESH_INTERVAL_MS: Millis = 250;
/** Time in milliseconds after which a sample has half its weight. */
const HALF_LIFE_MS: Millis = 20_000;
/** Minimum number of samples in a histogram whose weights decay. */
const MIN_DECAY_SAMPLE_COUNT = 500;

const binOf = (latency: Millis): number => {
  const bin = Math.floor(
    Math.log(Math.max(latency, FIRST_BIN_LATENCY_MS) / FIRST_BIN_LATENCY_MS) / BIN_LOG_WIDTH,
  );
  return Math.min(BIN_COUNT - 1, bin);
};

/**
 * Returns the cumulative hazard at the lower edge of each bin: the negative logarithm of the share
 * of samples that take longer.
 */
const cumulativeHazards = (counts: Float64Array, total: number): Float64Array => {
  const result = new Float64Array(BIN_COUNT);
  if (total < MIN_PEER_SAMPLE_COUNT) return result;
  let above = total;
  let resolvedBin = 0;
  let resolved = 0;
  for (let bin = 0; bin < BIN_COUNT; bin++) {
    if (above >= MIN_TAIL_SAMPLE_COUNT) {
      resolvedBin = bin;
      resolved = -Math.log(above / total);
    }
    const tail = PARETO_TAIL_INDEX * (bin - resolvedBin) * BIN_LOG_WIDTH;
    result[bin] = Math.min(MAX_HAZARD, resolved + tail);
    above -= counts[bin] ?? 0;
  }
  return result;
};

interface LatencyHistogram {
  readonly counts: Float64Array;
  total: number;
  peerHazards: Float64Array;
}

const emptyHistogram = (): LatencyHistogram => ({
  counts: new Float64Array(BIN_COUNT),
  total: 0,
  peerHazards: new Float64Array(BIN_COUNT),
});

/** Keeps latency histograms of a shard's upstreams, to rank each latency among the peers'. */
export class LatencyReference {
  private readonly histograms = new Map<UpstreamId, LatencyHistogram>();

  private refreshAt: Instant = -Infinity;

  private lastRefresh: Instant | undefined;

  record(id: UpstreamId, latency: Millis): void {
    const history = this.histograms.get(id) ?? emptyHistogram();
    this.histograms.set(id, history);
    const bin = binOf(latency);
    history.counts[bin] = (history.counts[bin] ?? 0) + 1;
    history.total += 1;
  }

  remove(id: UpstreamId): void {
    this.histograms.delete(id);
  }

  /**
   * Returns the cumulative hazard of `latency` in milliseconds among the peers of `id`. For an
   * upstream like its peers it is exponentially distributed with mean 1. It is 0 with too few
   * samples.
   */
  hazard(id: UpstreamId, latency: Millis): number {
    const history = this.histograms.get(id) ?? emptyHistogram();
    this.histograms.set(id, history);
    return history.peerHazards[binOf(latency)] ?? 0;
  }

  /** Decays the histograms and recomputes the peer hazards, at most every 250 ms. */
  refresh(now: Instant): void {
    if (now < this.refreshAt) return;
    this.decay(now);
    this.refreshAt = now + REFRESH_INTERVAL_MS;
    const pool = new Float64Array(BIN_COUNT);
    let poolTotal = 0;
    this.histograms.forEach(({ counts, total }) => {
      for (let bin = 0; bin < BIN_COUNT; bin++) pool[bin] = (pool[bin] ?? 0) + (counts[bin] ?? 0);
      poolTotal += total;
    });
    this.histograms.forEach((history) => {
      const others = pool.map((count, bin) => Math.max(0, count - (history.counts[bin] ?? 0)));
      Object.assign(history, { peerHazards: cumulativeHazards(others, poolTotal - history.total) });
    });
  }

  private decay(now: Instant): void {
    const elapsed = now - (this.lastRefresh ?? now);
    this.lastRefresh = now;
    const factor = 0.5 ** (elapsed / HALF_LIFE_MS);
    this.histograms.forEach((history) => {
      if (history.total < MIN_DECAY_SAMPLE_COUNT) return;
      history.counts.forEach((count, bin) => history.counts.fill(count * factor, bin, bin + 1));
      Object.assign(history, { total: history.total * factor });
    });
  }
}
