import type { Instant, Millis } from '../../model';

import type { HealthEntry } from './entry';
import { isReachable } from './probe-round';
import { COLD_RAMP_MS, PROBATION_RAMP_MS } from './review';

/** Share of slots, 0 to 1, of an upstream that gets one attempt at a time. */
export const TRIAL_SHARE = 0.05;
/** Share of slots, 0 to 1, of a suspect whose slots the capacity floor needs. */
const DEGRADED_SHARE = 0.5;
/** Share of slots, 0 to 1, at the start of a ramp. */
const RAMP_START_SHARE = 0.25;
/**
 * Time in milliseconds that a trial waits for an idempotent call before it takes one that can't be
 * retried.
 */
const UNSAFE_TRIAL_DELAY_MS: Millis = 2_000;

const rampShare = (fullAt: Instant, duration: number, now: Instant): number => {
  const progress = 1 - Math.max(0, fullAt - now) / duration;
  return RAMP_START_SHARE + (1 - RAMP_START_SHARE) * Math.max(0, progress);
};

/** Returns whether the upstream gets one attempt at a time to test its health. */
export const isOnTrial = ({ healthState }: HealthEntry, now: Instant): boolean => {
  if (healthState.kind === 'suspect') return !healthState.degraded && now >= healthState.trialAt;
  return healthState.kind === 'probation' && healthState.fullAt === undefined;
};

/**
 * Returns whether a call that can't be retried may serve as a trial attempt. Load pattern: a service
 * gets no idempotent calls, so that a suspect or returning upstream would never be tried. The call's
 * caller bears the risk, so a suspect must have answered a probe first.
 */
export const acceptsUnsafeTrial = (
  { healthState, probeRound }: HealthEntry,
  now: Instant,
): boolean => {
  if (healthState.kind === 'probation') return now >= healthState.startAt + UNSAFE_TRIAL_DELAY_MS;
  if (healthState.kind !== 'suspect') return false;
  if (now < healthState.trialAt + UNSAFE_TRIAL_DELAY_MS) return false;
  return probeRound?.self !== undefined && isReachable(probeRound.self);
};

/** Returns the share of its slots that the upstream may fill, 0 to 1. */
export const slotShare = (entry: HealthEntry, now: Instant): number => {
  const { healthState } = entry;
  if (isOnTrial(entry, now)) return TRIAL_SHARE;
  switch (healthState.kind) {
    case 'healthy':
      return 1;
    case 'suspect':
      return healthState.degraded ? DEGRADED_SHARE : 0;
    case 'probation':
      return rampShare(healthState.fullAt ?? Infinity, PROBATION_RAMP_MS, now);
    case 'cold':
      return rampShare(healthState.fullAt, COLD_RAMP_MS, now);
    case 'ejected':
    case 'link-fault':
    case 'leaving':
      return 0;
  }
};
