import type { Millis } from '../../model';

const SUSPECT_BASE_NATS = 8;
/** Each answer bears on slowness, few on failure: the slowness test has more chances to err. */
const SLOWNESS_EXTRA_NATS = 6.5;
const EJECT_BASE_NATS = 13.4;
const MIN_SUSPECT_NATS = 2.5;
const MIN_EJECT_NATS = 5;
const UNCONFIRMED_EXTRA_NATS = 2;
const CLEAR_BASE_NATS = 3;
const CLEAR_NATS_PER_LOG_COST = 0.5;
const HOLD_DOWN_BASE_MS: Millis = 2_000;
const MIN_COST_RATIO = 0.1;
const MAX_COST_RATIO = 200;

/** The limits of the sequential tests, in nats of log-likelihood ratio, and the first hold-down. */
export interface Thresholds {
  /** From here the failure test makes an upstream suspect. */
  readonly suspectFailure: number;
  /** From here the slowness test makes an upstream suspect. */
  readonly suspectSlowness: number;
  /** From here a suspect is ejected when another data centre can't reach it either. */
  readonly eject: number;
  /** From here a suspect is ejected on the evidence of attempts alone; trials count no further. */
  readonly ejectAlone: number;
  /** Below the negative of this a suspect is cleared. */
  readonly clear: number;
  /** How long the first ejection lasts. */
  readonly holdDown: Millis;
}

/**
 * The thresholds for a cost ratio of late detection over false ejection; `caution`, 1 or more, is
 * how much more evidence a node asks for that doubts itself.
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
