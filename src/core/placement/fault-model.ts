import type { Instant, Millis } from '../../model';

/**
 * Upstreams fail in spells: for some seconds most of their answers are failures, though their
 * health check is good. The model has two states, well and ill, with these figures.
 */
export const FAULT_MODEL = {
  /** Share of the time that an upstream is ill; from the users' sites, three in ten. */
  faultyShare: 0.3,
  /** How fast knowledge fades; upstreams on the users' sites change about every 9 s. */
  decayTimeMs: 9000 as Millis,
  /** Share of failures while ill; from the users' sites. */
  faultyFailureRate: 0.75,
  /** Share of failures while well; from the users' sites. */
  healthyFailureRate: 0.015,
} as const;

/** How sure one is that an upstream is ill, as of a moment. */
export interface FaultBelief {
  readonly faultProbability: number;
  readonly at: Instant;
}

export const PRIOR_BELIEF: FaultBelief = { faultProbability: FAULT_MODEL.faultyShare, at: 0 };

/** The chance that the upstream is ill at `now`, from what was believed earlier. */
export const faultProbabilityAt = (belief: FaultBelief, now: Instant): number => {
  const { faultyShare, decayTimeMs: decayTime } = FAULT_MODEL;
  const age = Math.max(0, now - belief.at);
  return faultyShare + (belief.faultProbability - faultyShare) * Math.exp(-age / decayTime);
};

/**
 * What is seen of an upstream: a good answer, a failure before the work can have been done, one
 * after it, or an answer that is long in coming.
 */
export type EvidenceKind = 'good' | 'failed-early' | 'failed-late' | 'slow';

/** How often each kind of evidence is seen of an upstream that is ill, and of one that is well. */
const EVIDENCE_LIKELIHOOD: Readonly<
  Record<EvidenceKind, { readonly faulty: number; readonly healthy: number }>
> = {
  good: { faulty: 1 - FAULT_MODEL.faultyFailureRate, healthy: 1 - FAULT_MODEL.healthyFailureRate },
  // On the users' sites 130 of 148 early failures were in spells, 7 of 40 late ones.
  'failed-early': { faulty: FAULT_MODEL.faultyFailureRate, healthy: 0.003 },
  // Mostly the request's own fault.
  'failed-late': { faulty: 0.1, healthy: 0.012 },
  // Of answers that take three times the usual: most of an upstream that hangs, few of others.
  slow: { faulty: 0.6, healthy: 0.04 },
};

/** The belief after something was seen. */
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

/** The chance that a request sent now fails. */
export const failureProbability = (belief: FaultBelief, now: Instant): number => {
  const faultProbability = faultProbabilityAt(belief, now);
  return (
    faultProbability * FAULT_MODEL.faultyFailureRate +
    (1 - faultProbability) * FAULT_MODEL.healthyFailureRate
  );
};
