import type { Instant, Millis } from '../../model';

/**
 * Parameters of a two-state model of an upstream, healthy or faulty. A faulty upstream fails most
 * requests for some seconds although its health check passes.
 */
export const FAULT_MODEL = {
  /**
   * Ratio of the time that an upstream is faulty, and so the fault probability without evidence.
   */
  faultyShare: 0.3,
  /**
   * Time constant of the exponential decay of a belief toward `faultyShare`: the mean time between
   * an upstream's changes of state.
   */
  decayTimeMs: 9000 as Millis,
  /** Ratio of requests that fail while the upstream is faulty. */
  faultyFailureRate: 0.75,
  /** Ratio of requests that fail while the upstream is healthy. */
  healthyFailureRate: 0.015,
} as const;

/** A probability, from 0 to 1, that an upstream is faulty, as estimated at the time `at`. */
export interface FaultBelief {
  readonly faultProbability: number;
  readonly at: Instant;
}

/** The belief about an upstream that nothing is known of. */
export const PRIOR_BELIEF: FaultBelief = { faultProbability: FAULT_MODEL.faultyShare, at: 0 };

/**
 * Returns the probability that the upstream is faulty at `now`, decayed since the belief was
 * updated.
 */
export const faultProbabilityAt = (belief: FaultBelief, now: Instant): number => {
  const { faultyShare, decayTimeMs } = FAULT_MODEL;
  const age = Math.max(0, now - belief.at);
  return faultyShare + (belief.faultProbability - faultyShare) * Math.exp(-age / decayTimeMs);
};

/**
 * The kinds of evidence about an upstream: a successful answer, a failure too early for the request
 * to have been processed, a later failure, or an answer that is overdue.
 */
export type EvidenceKind = 'good' | 'failed-early' | 'failed-late' | 'slow';

/** Likelihood, from 0 to 1, of each kind of evidence from a faulty and from a healthy upstream. */
const EVIDENCE_LIKELIHOOD: Readonly<
  Record<EvidenceKind, { readonly faulty: number; readonly healthy: number }>
> = {
  good: { faulty: 1 - FAULT_MODEL.faultyFailureRate, healthy: 1 - FAULT_MODEL.healthyFailureRate },
  // Early failures come mostly from faulty upstreams.
  'failed-early': { faulty: FAULT_MODEL.faultyFailureRate, healthy: 0.003 },
  // Late failures are mostly caused by the request itself.
  'failed-late': { faulty: 0.1, healthy: 0.012 },
  // Answers overdue at three times the mean latency: most of those from an upstream that hangs, few
  // from others.
  slow: { faulty: 0.6, healthy: 0.04 },
};

/** Returns the belief at `now` after new evidence, by Bayes' rule. */
export const updateBelief = (
  belief: FaultBelief,
  evidence: EvidenceKind,
  now: Instant,
): FaultBelief => {
  const faultProbability = faultProbabilityAt(belief, now);
  const { faulty: whenFaulty, healthy: whenHealthy } = EVIDENCE_LIKELIHOOD[evidence];
  const posterior =
    (faultProbability * whenFaulty) /
    (faultProbability * whenFaulty + (1 - faultProbability) * whenHealthy);
  return { faultProbability: posterior, at: now };
};

/** Returns the probability that a request sent at `now` fails. */
export const failureProbability = (belief: FaultBelief, now: Instant): number => {
  const faultProbability = faultProbabilityAt(belief, now);
  return (
    faultProbability * FAULT_MODEL.faultyFailureRate +
    (1 - faultProbability) * FAULT_MODEL.healthyFailureRate
  );
};
