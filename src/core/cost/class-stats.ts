import type { Instant, Millis } from '../../model';

/** Lowest weight, 0 to 1, of the newest cost in the averages. */
const MIN_NEWEST_WEIGHT = 0.02;
/** Time constant in milliseconds with which the weight of old costs decays. */
const AGEING_TIME_MS: Millis = 600_000;
/** Number of costs that the wider class counts for in the estimate of a narrower one. */
const PRIOR_COUNT = 3;
/** Number of predictions compared before a class may be used in place of its route. */
const MIN_COMPARED_COUNT = 12;
/**
 * Ratio of the mean squared errors, narrower to wider class, below which the narrower predicts
 * measurably better. Chance gives a class of 12 costs without a difference ratios of 0.9 to 1.2.
 */
const MAX_ERROR_RATIO = 0.75;

/**
 * Least reduction of the mean squared error of the logarithm; where all costs are alike, the ratio
 * of two errors close to 0 tells nothing.
 */
const MIN_ERROR_REDUCTION = 0.01;

/** The expected cost of a request; costs are milliseconds of work at an upstream of usual speed. */
export interface CostEstimate {
  readonly expectedMs: Millis;
  /** Mean of the natural logarithm of the cost. */
  readonly meanLog: number;
  /** Standard deviation of the natural logarithm of the cost. */
  readonly dispersion: number;
}

/** The averages of the costs of one class of requests. */
export class ClassStats {
  private weight = 0;

  private mean = 0;

  private meanLog = 0;

  private varianceLog = 0;

  private comparedCount = 0;

  /** Mean squared errors of the logarithm as predicted by this class and by the wider one. */
  private ownError = 0;

  private widerError = 0;

  private updatedAt: Instant = Number.NEGATIVE_INFINITY;

  /** Number of costs learned, less than that if they are old. */
  get count(): number {
    return this.weight;
  }

  /** Returns the estimate of this class, drawn towards that of the wider one while costs are few. */
  estimate(wider: CostEstimate): CostEstimate {
    const prior = PRIOR_COUNT / (PRIOR_COUNT + this.weight);
    const variance = prior * wider.dispersion * wider.dispersion + (1 - prior) * this.varianceLog;
    return {
      expectedMs: prior * wider.expectedMs + (1 - prior) * this.mean,
      meanLog: prior * wider.meanLog + (1 - prior) * this.meanLog,
      dispersion: Math.sqrt(variance),
    };
  }

  /** Ratio of the squared errors of this class and the wider one; 1 while that is not known. */
  get errorRatio(): number {
    if (this.comparedCount < MIN_COMPARED_COUNT || this.widerError <= 0) return 1;
    return this.ownError / this.widerError;
  }

  /** Whether this class predicts measurably better than the wider one. */
  get isBetter(): boolean {
    return (
      this.errorRatio < MAX_ERROR_RATIO && this.widerError - this.ownError > MIN_ERROR_REDUCTION
    );
  }

  /** Learns a cost; `reliability`, 0 to 1, is less than 1 where it is inferred. */
  learn(cost: Millis, reliability: number, wider: CostEstimate, now: Instant): void {
    this.age(now);
    const log = Math.log(Math.max(1, cost));
    this.compare(log, wider);
    this.weight += reliability;
    const newest = reliability * Math.max(MIN_NEWEST_WEIGHT, 1 / Math.max(1, this.weight));
    const difference = log - this.meanLog;
    this.mean += (cost - this.mean) * newest;
    this.meanLog += difference * newest;
    this.varianceLog += (difference * difference * (1 - newest) - this.varianceLog) * newest;
  }

  private compare(log: number, wider: CostEstimate): void {
    const own = log - this.estimate(wider).meanLog;
    const other = log - wider.meanLog;
    this.comparedCount += 1;
    const newest = Math.max(MIN_NEWEST_WEIGHT, 1 / this.comparedCount);
    this.ownError += (own * own - this.ownError) * newest;
    this.widerError += (other * other - this.widerError) * newest;
  }

  private age(now: Instant): void {
    const factor = Math.exp(-Math.max(0, now - this.updatedAt) / AGEING_TIME_MS);
    this.weight *= factor;
    this.comparedCount *= factor;
    this.updatedAt = now;
  }
}
