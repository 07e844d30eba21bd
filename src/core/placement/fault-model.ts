import type { Instant, Millis } from '../../model';

/**
 * Rates of a two-state model of a service's upstreams, healthy or faulty. A faulty upstream fails
 * most requests for some seconds although its health check passes.
 */
export interface FaultRates {
  /**
   * Ratio of the time that an upstream is faulty, and so the fault probability without evidence.
   */
  readonly faultyShare: number;
  /**
   * Time constant in milliseconds of the exponential decay of a belief toward `faultyShare`: the
   * mean time between an upstream's changes of state.
   */
  readonly decayTime: Millis;
  /** Ratio of requests that fail while the upstream is faulty. */
  readonly faultyFailureRate: number;
  /** Ratio of requests that fail while the upstream is healthy. */
  readonly healthyFailureRate: number;
}

/** The rates assumed before any evidence; `LearnedFaultRates` replaces them by observed ones. */
export const INITIAL_FAULT_RATES: FaultRates = {
  faultyShare: 0.3,
  decayTime: 9000,
  faultyFailureRate: 0.75,
  healthyFailureRate: 0.015,
};

/** A probability, from 0 to 1, that an upstream is faulty, as estimated at the time `at`. */
export interface FaultBelief {
  readonly faultProbability: number;
  readonly at: Instant;
}

/** The belief about an upstream that nothing is known of; its probability is `faultyShare`. */
export const PRIOR_BELIEF: FaultBelief = {
  faultProbability: INITIAL_FAULT_RATES.faultyShare,
  at: 0,
};

/**
 * Returns the probability that the upstream is faulty at `now`, decayed since the belief was
 * updated.
 */
export const faultProbabilityAt = (
  belief: FaultBelief,
  now: Instant,
  { faultyShare, decayTime }: FaultRates = INITIAL_FAULT_RATES,
): number => {
  if (belief === PRIOR_BELIEF) return faultyShare;
  const age = Math.max(0, now - belief.at);
  return faultyShare + (belief.faultProbability - faultyShare) * Math.exp(-age / decayTime);
};

/**
 * The kinds of evidence about an upstream: a successful answer, a failure too early for the request
 * to have been processed, a later failure, or an answer that is overdue.
 */
export type EvidenceKind = 'good' | 'failed-early' | 'failed-late' | 'slow';

/** Likelihood, from 0 to 1, of a kind of evidence from a faulty and from a healthy upstream. */
interface EvidenceLikelihood {
  readonly faulty: number;
  readonly healthy: number;
}

/**
 * Ratio of the failures of healthy upstreams that are early; most are caused by the request itself,
 * once it runs.
 */
const HEALTHY_EARLY_RATIO = 0.2;
/** Likelihood of a late failure of a faulty upstream, which fails most requests early. */
const FAULTY_LATE_RATE = 0.1;

const likelihoodOf = (evidence: EvidenceKind, rates: FaultRates): EvidenceLikelihood => {
  const { faultyFailureRate, healthyFailureRate } = rates;
  switch (evidence) {
    case 'good':
      return { faulty: 1 - faultyFailureRate, healthy: 1 - healthyFailureRate };
    case 'failed-early':
      return { faulty: faultyFailureRate, healthy: HEALTHY_EARLY_RATIO * healthyFailureRate };
    case 'failed-late':
      return {
        faulty: FAULTY_LATE_RATE,
        healthy: (1 - HEALTHY_EARLY_RATIO) * healthyFailureRate,
      };
    case 'slow':
      // Answers overdue at three times the mean latency: most of those from an upstream that hangs,
      // few from others.
      return { faulty: 0.6, healthy: 0.04 };
  }
};

/** Returns the belief at `now` after new evidence, by Bayes' rule. */
export const updateBelief = (
  belief: FaultBelief,
  evidence: EvidenceKind,
  now: Instant,
  rates: FaultRates = INITIAL_FAULT_RATES,
): FaultBelief => {
  const faultProbability = faultProbabilityAt(belief, now, rates);
  const { faulty: whenFaulty, healthy: whenHealthy } = likelihoodOf(evidence, rates);
  const posterior =
    (faultProbability * whenFaulty) /
    (faultProbability * whenFaulty + (1 - faultProbability) * whenHealthy);
  return { faultProbability: posterior, at: now };
};

/** Returns the probability that a request sent at `now` fails. */
export const failureProbability = (
  belief: FaultBelief,
  now: Instant,
  rates: FaultRates = INITIAL_FAULT_RATES,
): number => {
  const faultProbability = faultProbabilityAt(belief, now, rates);
  return (
    faultProbability * rates.faultyFailureRate + (1 - faultProbability) * rates.healthyFailureRate
  );
};
