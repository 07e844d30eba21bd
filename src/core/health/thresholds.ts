import type { Millis } from '../../model';

/**
 * The base thresholds apply at cost ratio 1; the logarithm of the ratio is subtracted, down to the
 * minimum thresholds.
 */
const SUSPECT_BASE_NATS = 8;
/** Additional nats for slowness: every answer is evidence of it, so chance crosses sooner. */
const SLOWNESS_EXTRA_NATS = 6.5;
const EJECT_BASE_NATS = 13.4;
const MIN_SUSPECT_NATS = 2.5;
const MIN_EJECT_NATS = 5;
/** Additional nats for an ejection that no other data centre confirms. */
const UNCONFIRMED_EXTRA_NATS = 2;
/** Magnitude of the clearing threshold at cost ratio 1, and its increase with log cost ratio. */
const CLEAR_BASE_NATS = 3;
const CLEAR_NATS_PER_LOG_COST = 0.5;
/** First hold-down in milliseconds at cost ratio 1. */
const HOLD_DOWN_BASE_MS: Millis = 2_000;
/** Bounds of the cost ratio, which has no unit. */
const MIN_COST_RATIO = 0.1;
const MAX_COST_RATIO = 200;

/** The thresholds of the sequential tests, in nats of log-likelihood ratio, and the hold-down. */
export interface Thresholds {
  /** Failure score from which an upstream becomes suspect. */
  readonly suspectFailure: number;
  /** Slowness score from which an upstream becomes suspect. */
  readonly suspectSlowness: number;
  /** Trial score from which a suspect is ejected if another data centre can't reach it either. */
  readonly eject: number;
  /**
   * Trial score from which attempts alone suffice for an ejection; trial scores are capped here.
   */
  readonly ejectAlone: number;
  /** Magnitude of the negative trial score at which a suspect is cleared. */
  readonly clear: number;
  /** Duration in milliseconds of the first ejection. */
  readonly holdDown: Millis;
}

/**
 * Returns the thresholds for `costRatio`, the cost of a late detection over that of a false
 * ejection. `caution`, 1 or more, raises them while this node's own observations are unreliable.
 */
export const thresholdsFor = (costRatio: number, caution: number): Thresholds => {
  const cost = Math.log(Math.min(MAX_COST_RATIO, Math.max(MIN_COST_RATIO, costRatio)));
  const suspect = Math.max(MIN_SUSPECT_NATS, SUSPECT_BASE_NATS - cost);
  const eject = Math.max(MIN_EJECT_NATS, EJECT_BASE_NATS - cost);
  return {
    suspectFailure: suspect * caution,
    suspectSlowness: (suspect + SLOWNESS_EXTRA_NATS) * caution,
    eject: eject * caution,
    ejectAlone: (eject + UNCONFIRMED_EXTRA_NATS) * caution,
    clear: CLEAR_BASE_NATS + Math.max(0, cost) * CLEAR_NATS_PER_LOG_COST,
    holdDown: HOLD_DOWN_BASE_MS * (1 + Math.max(0, cost)),
  };
};
