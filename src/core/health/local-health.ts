import type { Instant, Millis } from '../../model';

const MIN_LAG_MS: Millis = 50;
const SEVERE_LAG_MS: Millis = 150;
const MAX_SCORE = 4;
const SCORE_DECAY_INTERVAL_MS: Millis = 2_000;
const MULTIPLIER_PER_SCORE = 0.5;
const MAX_TICK_INTERVAL_MS: Millis = 100;

/** How far this process trusts its own observations, after Lifeguard's local health. Immutable. */
export class LocalHealth {
  static readonly healthy = new LocalHealth(0, -Infinity, 0, undefined, 0);

  private constructor(
    private readonly score: number,
    private readonly scoreDecayAt: Instant,
    /** All lag so far; the age of an attempt leaves out what was added since its start. */
    readonly totalLag: Millis,
    private readonly lastTick: Instant | undefined,
    private readonly lagSinceTick: Millis,
  ) {}

  /** What thresholds are multiplied by; 1 when sound. */
  get thresholdMultiplier(): number {
    return 1 + this.score * MULTIPLIER_PER_SCORE;
  }

  /** Whether ejections have to wait. */
  get blocksEjection(): boolean {
    return this.score >= 2;
  }

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

  /** A late tick is lag too, so far as none was observed since the last. */
  tick(now: Instant): LocalHealth {
    const late = now - (this.lastTick ?? now) - MAX_TICK_INTERVAL_MS;
    const { score, scoreDecayAt, totalLag } = this.recordLag(late - this.lagSinceTick, now);
    if (score === 0 || now < scoreDecayAt)
      return new LocalHealth(score, scoreDecayAt, totalLag, now, 0);
    return new LocalHealth(score - 1, now + SCORE_DECAY_INTERVAL_MS, totalLag, now, 0);
  }
}
