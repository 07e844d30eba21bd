import type { Instant, Millis } from '../../model';

import { holdDownOf, type Entry } from './entry';
import type { EjectionRefusal, HealthState, HealthStateReason } from './events';
import { PROBE_INTERVAL } from './probe-schedule';
import { isReachable, judgeRound, type ProbeVerdict } from './probes';
import type { Thresholds } from './thresholds';
import type { Test, UpstreamEvidence } from './upstream-evidence';

/** How long a suspect rests before its trial: longer than a garbage collection pause. */
const PAUSE: Millis = 300;
const RAMP: Millis = 3_000;
const UNREACHABLE_HOLD_DOWN: Millis = 1_000;
/** Full share after this long for an upstream that is cold or new. */
export const COLD_RAMP: Millis = 5_000;
const OTHER_TEST_LIMIT = 1;

/** What is to become of an entry. */
export type Review =
  | { readonly kind: 'stay' }
  | { readonly kind: 'move'; readonly to: HealthState; readonly reason: HealthStateReason }
  | { readonly kind: 'refuse'; readonly reason: EjectionRefusal };

/** What a review goes by besides the entry. */
export interface ReviewContext {
  readonly now: Instant;
  readonly evidence: UpstreamEvidence;
  readonly thresholds: Thresholds;
  /** What stands against an ejection by this node's own evidence. */
  selfDoubt(): EjectionRefusal | undefined;
  /** Whether the floor can spare the upstream. */
  canEject(): boolean;
}

const STAY: Review = { kind: 'stay' };

const moveTo = (to: HealthState, reason: HealthStateReason): Review => ({
  kind: 'move',
  to,
  reason,
});

/** The standing of a suspect from now on. */
export const suspectFrom = (now: Instant, degraded = false): HealthState => ({
  kind: 'suspect',
  trialAt: degraded ? now : now + PAUSE,
  degraded,
});

/** The standing of an upstream that is cold from now on. */
export const coldFrom = (now: Instant): HealthState => ({
  kind: 'cold',
  since: now,
  fullAt: now + COLD_RAMP,
});

/** The standing of an upstream that drains from now on. */
export const leavingFrom = (now: Instant): HealthState => ({
  kind: 'leaving',
  probeAt: now + PROBE_INTERVAL,
});

const reasonOf = (entry: Entry, evidence: UpstreamEvidence): HealthStateReason => {
  if (entry.raisedBy === 'failure') {
    return evidence.symptomOf('failure') === 'silence' ? 'unreachable' : 'failures';
  }
  return evidence.symptomOf('slowness') === 'silence' ? 'stalled' : 'slow';
};

/** The running test that has crossed its threshold, if any. */
export const raisedTest = (
  evidence: UpstreamEvidence,
  thresholds: Thresholds,
): Test | undefined => {
  const { failure, slowness } = evidence.runningScores;
  if (failure >= thresholds.suspectFailure) return 'failure';
  return slowness >= thresholds.suspectSlowness ? 'slowness' : undefined;
};

const suspicionReason = (test: Test, evidence: UpstreamEvidence): HealthStateReason => {
  if (test === 'failure')
    return evidence.symptomOf(test) === 'silence' ? 'unreachable' : 'failures';
  return evidence.isStalled ? 'stalled' : 'slow';
};

const suspectWhenRaised = ({ evidence, thresholds, now }: ReviewContext): Review => {
  const test = raisedTest(evidence, thresholds);
  return test ? moveTo(suspectFrom(now), suspicionReason(test, evidence)) : STAY;
};

const isCleared = (entry: Entry, { evidence, thresholds }: ReviewContext): boolean => {
  const { failure, slowness } = evidence.trialScores;
  const [raised, other] = entry.raisedBy === 'failure' ? [failure, slowness] : [slowness, failure];
  return raised <= -thresholds.clear && other <= OTHER_TEST_LIMIT;
};

const trialScore = (evidence: UpstreamEvidence): number =>
  Math.max(evidence.trialScores.failure, evidence.trialScores.slowness);

/** A probe can tell when an unreachable upstream is back, so that one is held down for less. */
const ejectedFrom = (
  entry: Entry,
  { thresholds, now }: ReviewContext,
  reason: HealthStateReason,
): HealthState => {
  const base = reason === 'unreachable' ? UNREACHABLE_HOLD_DOWN : thresholds.holdDown;
  return { kind: 'ejected', until: now + holdDownOf(entry, base) };
};

const eject = (
  entry: Entry,
  context: ReviewContext,
  verdict: ProbeVerdict,
  reason: HealthStateReason,
): Review => {
  if (!context.canEject()) return { kind: 'refuse', reason: 'floor' };
  const doubt = context.selfDoubt();
  if (doubt && verdict !== 'confirmed') return { kind: 'refuse', reason: doubt };
  return moveTo(ejectedFrom(entry, context, reason), reason);
};

/** Wrong answers can't come of a link; slow ones and silence can. */
const canBlameLink = (entry: Entry, evidence: UpstreamEvidence): boolean =>
  evidence.symptomOf(entry.raisedBy) === 'silence' || entry.raisedBy === 'slowness';

const reviewSuspect = (entry: Entry, context: ReviewContext): Review => {
  const { evidence, thresholds, now } = context;
  const verdict = entry.round ? judgeRound(entry.round, now) : 'pending';
  if (verdict === 'link-fault' && canBlameLink(entry, evidence)) {
    return moveTo({ kind: 'link-fault', probeAt: now + PROBE_INTERVAL }, 'unreachable-from-here');
  }
  if (isCleared(entry, context)) return moveTo({ kind: 'healthy' }, 'trial-passed');
  if (verdict === 'pending') return STAY;
  const limit = verdict === 'confirmed' ? thresholds.eject : thresholds.ejectAlone;
  if (trialScore(evidence) < limit) return STAY;
  return eject(entry, context, verdict, reasonOf(entry, evidence));
};

const reviewEjected = ({ round }: Entry, now: Instant): Review => {
  if (!round?.self || !isReachable(round.self)) return STAY;
  return moveTo({ kind: 'probation', startAt: now, fullAt: undefined }, 'probe-answered');
};

const reviewProbation = (
  entry: Entry,
  startAt: Instant,
  fullAt: Instant | undefined,
  context: ReviewContext,
): Review => {
  const { evidence, thresholds, now } = context;
  if (fullAt !== undefined) {
    const raised = suspectWhenRaised(context);
    if (raised.kind !== 'stay' || now < fullAt) return raised;
    return moveTo({ kind: 'healthy' }, 'ramp-ended');
  }
  if (trialScore(evidence) >= thresholds.eject) {
    const doubt = context.selfDoubt();
    if (doubt) return { kind: 'refuse', reason: doubt };
    return moveTo(ejectedFrom(entry, context, 'trial-failed'), 'trial-failed');
  }
  if (!isCleared(entry, context)) return STAY;
  return moveTo({ kind: 'probation', startAt, fullAt: now + RAMP }, 'trial-passed');
};

const reviewLinkFault = (entry: Entry, context: ReviewContext): Review => {
  const { round } = entry;
  if (!round?.self || !round.other) return STAY;
  const verdict = judgeRound(round, context.now);
  if (verdict === 'confirmed') return eject(entry, context, verdict, 'unreachable');
  if (verdict === 'link-fault') return STAY;
  return moveTo(suspectFrom(context.now), 'probe-answered');
};

const reviewLeaving = (entry: Entry, now: Instant): Review => {
  if (!entry.round?.self || !isReachable(entry.round.self)) return STAY;
  return moveTo(coldFrom(now), 'probe-answered');
};

const reviewCold = (fullAt: Instant, context: ReviewContext): Review => {
  const raised = suspectWhenRaised(context);
  if (raised.kind !== 'stay' || context.now < fullAt) return raised;
  return moveTo({ kind: 'healthy' }, 'ramp-ended');
};

/** Decides on the standing of one upstream. */
export const review = (entry: Entry, context: ReviewContext): Review => {
  const { healthState } = entry;
  switch (healthState.kind) {
    case 'healthy':
      return suspectWhenRaised(context);
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
