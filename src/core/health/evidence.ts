import type { AttemptResult } from '../../model';

/** Completion rate of a slow upstream as a ratio of its peers' rate. */
const SLOW_COMPLETION_RATIO = 0.2;
/** Evidence in nats that any completed answer gives; negative, as it speaks for health. */
const COMPLETION_NATS = Math.log(SLOW_COMPLETION_RATIO);
/** Evidence in nats for each unit of cumulative hazard that a latency reached. */
const NATS_PER_HAZARD = 1 - SLOW_COMPLETION_RATIO;

/** Error rate, 0 to 1, that a faulty upstream has in addition to the usual rate. */
const FAULTY_EXTRA_ERROR_RATE = 0.25;
/** Bounds of the error rate, 0 to 1, that is expected of a healthy upstream. */
const MIN_EXPECTED_ERROR_RATE = 0.01;
const MAX_EXPECTED_ERROR_RATE = 0.4;
/** Ratio of the error rate expected of a healthy upstream to that of its peers. */
const PEER_ERROR_RATE_FACTOR = 2;
/** Rates, 0 to 1, at which attempts at a healthy upstream end with each fault. */
const CONNECTION_FAILURE_RATE = 0.004;
const TRUNCATED_ANSWER_RATE = 0.0005;
const MISMATCHED_ANSWER_RATE = 0.0001;

/** Whether evidence comes from answers or from their absence, which a link fault can also cause. */
export type Symptom = 'answers' | 'silence';

/** Evidence from one attempt: log-likelihood ratios of faulty over healthy, in nats. */
export interface Evidence {
  readonly failure: number;
  readonly slowness: number;
  readonly symptom: Symptom;
}

export const NO_EVIDENCE: Evidence = { failure: 0, slowness: 0, symptom: 'answers' };

/** Returns the slowness evidence in nats of an answer whose latency has this cumulative hazard. */
export const completionEvidence = (hazard: number): number =>
  COMPLETION_NATS + NATS_PER_HAZARD * hazard;

/**
 * Returns the slowness evidence in nats of an unanswered request whose age has this cumulative
 * hazard. It is never negative, since an open request is no sign of health.
 */
export const stallEvidence = (hazard: number): number => Math.max(0, completionEvidence(hazard));

const expectedErrorRate = (peerErrorRate: number): number =>
  Math.min(
    MAX_EXPECTED_ERROR_RATE,
    Math.max(MIN_EXPECTED_ERROR_RATE, peerErrorRate * PEER_ERROR_RATE_FACTOR),
  );

const failureEvidence = (healthyRate: number): number =>
  Math.log((healthyRate + FAULTY_EXTRA_ERROR_RATE) / healthyRate);

/** Failure evidence in nats of a connection that failed. */
export const CONNECTION_FAILURE_NATS = failureEvidence(CONNECTION_FAILURE_RATE);

const successEvidence = (healthyRate: number): number =>
  Math.log((1 - healthyRate - FAULTY_EXTRA_ERROR_RATE) / (1 - healthyRate));

const failedAttemptEvidence = (
  healthyRate: number,
  hazard: number,
  symptom: Symptom,
): Evidence => ({
  failure: failureEvidence(healthyRate),
  slowness: stallEvidence(hazard),
  symptom,
});

/**
 * Returns the evidence from a finished attempt. `hazard` is the cumulative hazard of its latency
 * among the peers, `peerErrorRate` the peers' share of error answers, 0 to 1.
 */
export const evidenceOf = (
  result: AttemptResult,
  hazard: number,
  peerErrorRate: number,
): Evidence => {
  const healthyRate = expectedErrorRate(peerErrorRate);
  switch (result.kind) {
    case 'ok':
      return {
        failure: successEvidence(healthyRate),
        slowness: completionEvidence(hazard),
        symptom: 'answers',
      };
    case 'error-status':
      return failedAttemptEvidence(healthyRate, hazard, 'answers');
    case 'truncated':
      return failedAttemptEvidence(TRUNCATED_ANSWER_RATE, hazard, 'answers');
    case 'mismatched':
      return failedAttemptEvidence(MISMATCHED_ANSWER_RATE, hazard, 'answers');
    case 'connect-failed':
    case 'reset':
      return failedAttemptEvidence(CONNECTION_FAILURE_RATE, hazard, 'silence');
    case 'timeout':
    case 'cancelled':
      return { failure: 0, slowness: stallEvidence(hazard), symptom: 'silence' };
    case 'shed':
      return NO_EVIDENCE;
  }
};
