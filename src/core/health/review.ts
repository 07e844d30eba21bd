import type { Instant, Millis } from '../../model';

import { holdDownDuration, type HealthEntry } from './entry';
import type { EjectionRefusal, HealthState, HealthStateReason } from './events';
import { PROBE_INTERVAL_MS } from './probe-schedule';
import { isReachable, probeVerdict, type ProbeVerdict } from './probe-round';
import type { Thresholds } from './thresholds';
import type { SequentialTest, UpstreamEvidence } from './upstream-evidence';

/**
 * Time in milliseconds without work before a suspect's trial; exceeds a garbage collection pause.
 */
const SUSPECT_PAUSE_MS: Millis = 300;
/** Time in milliseconds from a passed trial after ejection to a full share. */
export const PROBATION_RAMP_MS: Millis = 3_000;
/** Base hold-down in milliseconds for upstreams whose return a probe can show. */
const UNREACHABLE_HOLD_DOWN_MS: Millis = 1_000;
/** Time in milliseconds until a cold or new upstream has its full share. */
export const COLD_RAMP_MS: Millis = 5_000;
/** Highest trial score in nats of the test that did not raise suspicion for a suspect to clear. */
const OTHER_TEST_MAX_NATS = 1;

/** The decision about one entry: keep its state, change it, or refuse an ejection. */
export type ReviewDecision =
  | { readonly kind: 'stay' }
  | { readonly kind: 'move'; readonly to: HealthState; readonly reason: HealthStateReason }
  | { readonly kind: 'refuse'; readonly reason: EjectionRefusal };

/** The inputs of a review besides the entry. */
export interface ReviewContext {
  readonly now: Instant;
  readonly evidence: UpstreamEvidence;
  readonly thresholds: Thresholds;
  /** Returns why this node's own evidence does not suffice for an ejection, if so. */
  localRefusal(): EjectionRefusal | undefined;
  /** Returns whether the capacity floor allows an ejection of the upstream. */
  canEject(): boolean;
}

const STAY: ReviewDecision = { kind: 'stay' };

const transitionTo = (to: HealthState, reason: HealthStateReason): ReviewDecision => ({
  kind: 'move',
  to,
  reason,
});

/** Returns the state of an upstream that becomes suspect now. */
export const suspectState = (now: Instant, degraded = false): HealthState => ({
  kind: 'suspect',
  trialAt: degraded ? now : now + SUSPECT_PAUSE_MS,
  degraded,
});

/** Returns the state of an upstream that is cold from now on. */
export const coldState = (now: Instant): HealthState => ({
  kind: 'cold',
  since: now,
  fullAt: now + COLD_RAMP_MS,
});

/** Returns the state of an upstream that drains from now on. */
export const leavingState = (now: Instant): HealthState => ({
  kind: 'leaving',
  probeAt: now + PROBE_INTERVAL_MS,
});

const ejectionReason = (entry: HealthEntry, evidence: UpstreamEvidence): HealthStateReason => {
  if (entry.raisedBy === 'failure') {
    return evidence.symptomOf('failure') === 'silence' ? 'unreachable' : 'failures';
  }
  return evidence.symptomOf('slowness') === 'silence' ? 'stalled' : 'slow';
};

/** Returns the running test whose score reached its threshold, if any; failure goes first. */
export const testOverThreshold = (
  evidence: UpstreamEvidence,
  thresholds: Thresholds,
): SequentialTest | undefined => {
  const { failure, slowness } = evidence.runningScores;
  if (failure >= thresholds.suspectFailure) return 'failure';
  return slowness >= thresholds.suspectSlowness ? 'slowness' : undefined;
};

const suspicionReason = (test: SequentialTest, evidence: UpstreamEvidence): HealthStateReason => {
  if (test === 'failure')
    return evidence.symptomOf(test) === 'silence' ? 'unreachable' : 'failures';
  return evidence.isStalled ? 'stalled' : 'slow';
};

const reviewRunningTests = ({ evidence, thresholds, now }: ReviewContext): ReviewDecision => {
  const test = testOverThreshold(evidence, thresholds);
  return test ? transitionTo(suspectState(now), suspicionReason(test, evidence)) : STAY;
};

const isCleared = (entry: HealthEntry, { evidence, thresholds }: ReviewContext): boolean => {
  const { failure, slowness } = evidence.trialScores;
  const [raised, other] = entry.raisedBy === 'failure' ? [failure, slowness] : [slowness, failure];
  return raised <= -thresholds.clear && other <= OTHER_TEST_MAX_NATS;
};

const trialScore = (evidence: UpstreamEvidence): number =>
  Math.max(evidence.trialScores.failure, evidence.trialScores.slowness);

/** Uses a shorter hold-down for an unreachable upstream, since a probe shows when it is back. */
const ejectedState = (
  entry: HealthEntry,
  { thresholds, now }: ReviewContext,
  reason: HealthStateReason,
): HealthState => {
  const base = reason === 'unreachable' ? UNREACHABLE_HOLD_DOWN_MS : thresholds.holdDown;
  return { kind: 'ejected', until: now + holdDownDuration(entry, base) };
};

const eject = (
  entry: HealthEntry,
  context: ReviewContext,
  verdict: ProbeVerdict,
  reason: HealthStateReason,
): ReviewDecision => {
  if (!context.canEject()) return { kind: 'refuse', reason: 'floor' };
  const refusal = context.localRefusal();
  if (refusal && verdict !== 'confirmed') return { kind: 'refuse', reason: refusal };
  return transitionTo(ejectedState(entry, context, reason), reason);
};

/**
 * Returns whether a link fault can be the cause: it explains slowness and silence, not wrong
 * answers.
 */
const canBlameLink = (entry: HealthEntry, evidence: UpstreamEvidence): boolean =>
  evidence.symptomOf(entry.raisedBy) === 'silence' || entry.raisedBy === 'slowness';

const reviewSuspect = (entry: HealthEntry, context: ReviewContext): ReviewDecision => {
  const { evidence, thresholds, now } = context;
  const verdict = entry.probeRound ? probeVerdict(entry.probeRound, now) : 'pending';
  if (verdict === 'link-fault' && canBlameLink(entry, evidence)) {
    return transitionTo(
      { kind: 'link-fault', probeAt: now + PROBE_INTERVAL_MS },
      'unreachable-from-here',
    );
  }
  if (isCleared(entry, context)) return transitionTo({ kind: 'healthy' }, 'trial-passed');
  if (verdict === 'pending') return STAY;
  const limit = verdict === 'confirmed' ? thresholds.eject : thresholds.ejectAlone;
  if (trialScore(evidence) < limit) return STAY;
  return eject(entry, context, verdict, ejectionReason(entry, evidence));
};

const reviewEjected = ({ probeRound: round }: HealthEntry, now: Instant): ReviewDecision => {
  if (!round?.self || !isReachable(round.self)) return STAY;
  return transitionTo({ kind: 'probation', startAt: now, fullAt: undefined }, 'probe-answered');
};

const reviewProbation = (
  entry: HealthEntry,
  startAt: Instant,
  fullAt: Instant | undefined,
  context: ReviewContext,
): ReviewDecision => {
  const { evidence, thresholds, now } = context;
  if (fullAt !== undefined) {
    const decision = reviewRunningTests(context);
    if (decision.kind !== 'stay' || now < fullAt) return decision;
    return transitionTo({ kind: 'healthy' }, 'ramp-ended');
  }
  if (trialScore(evidence) >= thresholds.eject) {
    const refusal = context.localRefusal();
    if (refusal) return { kind: 'refuse', reason: refusal };
    return transitionTo(ejectedState(entry, context, 'trial-failed'), 'trial-failed');
  }
  if (!isCleared(entry, context)) return STAY;
  return transitionTo(
    { kind: 'probation', startAt, fullAt: now + PROBATION_RAMP_MS },
    'trial-passed',
  );
};

const reviewLinkFault = (entry: HealthEntry, context: ReviewContext): ReviewDecision => {
  const { probeRound: round } = entry;
  if (!round?.self || !round.other) return STAY;
  const verdict = probeVerdict(round, context.now);
  if (verdict === 'confirmed') return eject(entry, context, verdict, 'unreachable');
  if (verdict === 'link-fault') return STAY;
  return transitionTo(suspectState(context.now), 'probe-answered');
};

const reviewLeaving = (entry: HealthEntry, now: Instant): ReviewDecision => {
  if (!entry.probeRound?.self || !isReachable(entry.probeRound.self)) return STAY;
  return transitionTo(coldState(now), 'probe-answered');
};

const reviewCold = (fullAt: Instant, context: ReviewContext): ReviewDecision => {
  const decision = reviewRunningTests(context);
  if (decision.kind !== 'stay' || context.now < fullAt) return decision;
  return transitionTo({ kind: 'healthy' }, 'ramp-ended');
};

/** Decides about the health state of one upstream. */
export const review = (entry: HealthEntry, context: ReviewContext): ReviewDecision => {
  const { healthState } = entry;
  switch (healthState.kind) {
    case 'healthy':
      return reviewRunningTests(context);
    case 'suspect':
      return reviewSuspect(entry, context);
    case 'ejected':
      return reviewEjected(entry, context.now);
    case 'probation':
      return reviewProbation(entry, healthState.startAt, healthState.fullAt, context);
    case 'link-fault':
      return reviewLinkFault(entry, context);
    case 'leaving':
      return reviewLeaving(entry, context.now);
    case 'cold':
      return reviewCold(healthState.fullAt, context);
  }
};
