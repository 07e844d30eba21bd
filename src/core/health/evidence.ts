import type { AttemptResult } from '../../model';

/** Hazard of a slow upstream over that of its peers: it completes at a fifth of their pace. */
const SLOW_COMPLETION_RATIO = 0.2;
const COMPLETION_NATS = Math.log(SLOW_COMPLETION_RATIO);
const NATS_PER_HAZARD = 1 - SLOW_COMPLETION_RATIO;

const FAULTY_EXTRA_ERROR_RATE = 0.25;
const MIN_EXPECTED_ERROR_RATE = 0.01;
const MAX_EXPECTED_ERROR_RATE = 0.4;
const PEER_ERROR_RATE_FACTOR = 2;
const CONNECTION_FAILURE_RATE = 0.004;
const TRUNCATED_ANSWER_RATE = 0.0005;
const MISMATCHED_ANSWER_RATE = 0.0001;

/** What kind of fault a piece of evidence points to. */
export type Symptom = 'answers' | 'silence';

/** One attempt's worth, in nats of log-likelihood ratio of sick over healthy. */
export interface Evidence {
  readonly failure: number;
  readonly slowness: number;
  readonly symptom: Symptom;
}

/** Nothing learnt. */
export const NO_EVIDENCE: Evidence = { failure: 0, slowness: 0, symptom: 'answers' };

/** For an answer that took as long as `hazard` says. */
export const completionEvidence = (hazard: number): number =>
  COMPLETION_NATS + NATS_PER_HAZARD * hazard;

/** For a request still unanswered at an age of `hazard`; never speaks for health. */
export const stallEvidence = (hazard: number): number => Math.max(0, completionEvidence(hazard));

const expectedErrorRate = (peerRate: number): number =>
  Math.min(
    MAX_EXPECTED_ERROR_RATE,
    Math.max(MIN_EXPECTED_ERROR_RATE, peerRate * PEER_ERROR_RATE_FACTOR),
  );

const failureEvidence = (usual: number): number =>
  Math.log((usual + FAULTY_EXTRA_ERROR_RATE) / usual);

/** For a connection that failed, in nats. */
export const CONNECTION_FAILURE_NATS = failureEvidence(CONNECTION_FAILURE_RATE);

const successEvidence = (usual: number): number =>
  Math.log((1 - usual - FAULTY_EXTRA_ERROR_RATE) / (1 - usual));

const failedAttemptEvidence = (usual: number, hazard: number, symptom: Symptom): Evidence => ({
  failure: failureEvidence(usual),
  slowness: stallEvidence(hazard),
  symptom,
});

/**
 * What the end of an attempt says. `hazard` is that of its latency among the peers, `peerRate`
 * the peers' share of error answers.
 */
export const evidenceOf = (result: AttemptResult, hazard: number, peerRate: number): Evidence => {
  const usual = expectedErrorRate(peerRate);
  switch (result.kind) {
    case 'ok':
      return {
        failure: successEvidence(usual),
        slowness: completionEvidence(hazard),
        symptom: 'answers',
      };
    case 'error-status':
      return failedAttemptEvidence(usual, hazard, 'answers');
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
