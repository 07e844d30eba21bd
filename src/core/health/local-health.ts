import type { Instant, Millis } from '../../model';

/** Event-loop lag in milliseconds below which the score does not rise. */
const MIN_LAG_MS: Millis = 50;
/** Event-loop lag in milliseconds from which the score rises by two. */
const SEVERE_LAG_MS: Millis = 150;
const MAX_SCORE = 4;
/** Time in milliseconds without lag after which the score drops by one. */
const SCORE_DECAY_INTERVAL_MS: Millis = 2_000;
/** Increase of the threshold multiplier for each point of the score. */
const MULTIPLIER_PER_SCORE = 0.5;
/** Longest regular time in milliseconds between ticks; what exceeds it counts as lag. */
const MAX_TICK_INTERVAL_MS: Millis = 100;

/**
 * Tracks how reliable this process's own observations are, from its event-loop lag, as the local
 * health multiplier of Lifeguard does. Immutable.
 */
export class LocalHealth {
  static readonly healthy = new LocalHealth(0, -Infinity, 0, undefined, 0);

  private constructor(
    private readonly score: number,
    private readonly scoreDecayAt: Instant,
    /** Total lag in milliseconds; an attempt's age excludes the lag added since its start. */
    readonly totalLag: Millis,
    private readonly lastTick: Instant | undefined,
    private readonly lagSinceTick: Millis,
  ) {}

  /** Factor for the evidence thresholds; 1 without recent lag. */
  get thresholdMultiplier(): number {
    return 1 + this.score * MULTIPLIER_PER_SCORE;
  }

  /** Whether recent lag is severe enough to refuse unconfirmed ejections. */
  get blocksEjection(): boolean {
    return this.score >= 2;
  }

  /** Returns the state after a lag in milliseconds. */
  recordLag(lag: Millis, now: Instant): LocalHealth {
    if (lag < MIN_LAG_MS) return this;
    const raised = Math.min(MAX_SCORE, this.score + (lag >= SEVERE_LAG_MS ? 2 : 1));
    const sinceTick = this.lagSinceTick + lag;
    return new LocalHealth(
      raised,
      now + SCORE_DECAY_INTERVAL_MS,
      this.totalLag + lag,
      this.lastTick,
      sinceTick,
    );
  }

  /**
   * Returns the state after a tick; a late tick counts as lag, less the lag recorded since the
   * last.
   */
  tick(now: Instant): LocalHealth {
    const late = now - (this.lastTick ?? now) - MAX_TICK_INTERVAL_MS;
    const { score, scoreDecayAt, totalLag } = this.recordLag(late - this.lagSinceTick, now);
    if (score === 0 || now < scoreDecayAt)
      return new LocalHealth(score, scoreDecayAt, totalLag, now, 0);
    return new LocalHealth(score - 1, now + SCORE_DECAY_INTERVAL_MS, totalLag, now, 0);
  }
}
