/** Weight, 0 to 1, of the newest observation of an upstream's speed. */
const NEWEST_SPEED_WEIGHT = 0.08;
/** Number of observations that an unknown upstream's usual speed counts for. */
const PRIOR_COUNT = 4;
/** Largest natural logarithm of a ratio that is believed: a factor of 8. */
const MAX_LOG_RATIO = Math.log(8);

/** Ratio of the upstream's times to those of an upstream of usual speed. */
export class SpeedEstimate {
  /** Higher is slower. */
  ratio = 1;

  private meanLog = 0;

  private count = 0;

  /** Learns from a time; `logRatio` is the logarithm of the time over the typical one. */
  learn(logRatio: number): void {
    this.count += 1;
    const limited = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
    const newest = Math.max(NEWEST_SPEED_WEIGHT, 1 / this.count);
    this.meanLog += (limited - this.meanLog) * newest;
    this.ratio = Math.exp((this.meanLog * this.count) / (this.count + PRIOR_COUNT));
  }
}

/** Weight, 0 to 1, of the newest observation of the slowdown. */
const NEWEST_SLOWDOWN_WEIGHT = 0.01;
/** Occupied ratios of the slots whose slowdown is learned; others are interpolated. */
const OCCUPANCIES: readonly number[] = [0.5, 0.75, 1];
const OCCUPANCY_STEP = 0.25;
/** Number of observations of each ratio before a slowdown is believed. */
const MIN_OBSERVED_COUNT = 20;
const MAX_SLOWDOWN = 4;

const positionOf = (occupancy: number): number =>
  Math.min(
    OCCUPANCIES.length - 1,
    Math.max(0, (occupancy - (OCCUPANCIES[0] ?? 0)) / OCCUPANCY_STEP),
  );

/** How much slower a service's upstreams are when nearly full, learned from its answers. */
export class Slowdown {
  private readonly observed = OCCUPANCIES.map(() => ({ meanLog: 0, count: 0 }));

  /** Ratios by occupancy, computed when something is learned. */
  private ratios: readonly number[] = OCCUPANCIES.map(() => 1);

  /** Returns the ratio of the times at an occupancy to those at an upstream at most half full. */
  ratio(occupancy: number): number {
    const position = positionOf(occupancy);
    const lower = Math.floor(position);
    const low = this.ratios[lower] ?? 1;
    return lower === position
      ? low
      : low + ((this.ratios[lower + 1] ?? low) - low) * (position - lower);
  }

  private ratioAt(index: number): number {
    const [idle] = this.observed;
    const found = this.observed[index];
    if (!idle || !found || found === idle) return 1;
    if (Math.min(idle.count, found.count) < MIN_OBSERVED_COUNT) return 1;
    return Math.min(MAX_SLOWDOWN, Math.max(1, Math.exp(found.meanLog - idle.meanLog)));
  }

  /** Learns from a request that found a free slot; see `SpeedEstimate.learn`. */
  learn(occupancy: number, logRatio: number): void {
    const found = this.observed[Math.round(positionOf(occupancy))];
    if (!found) return;
    found.count += 1;
    const newest = Math.max(NEWEST_SLOWDOWN_WEIGHT, 1 / found.count);
    found.meanLog += (logRatio - found.meanLog) * newest;
    this.ratios = OCCUPANCIES.map((_occupancy, index) => this.ratioAt(index));
  }
}
