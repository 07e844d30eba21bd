import type { Instant } from '../../model';

import type { HealthEntry } from './entry';
import { COLD_RAMP_MS } from './review';

/** What an upstream on trial gets: one attempt at a time. */
export const TRIAL_SHARE = 0.05;
const DEGRADED_SHARE = 0.5;
const RAMP_START_SHARE = 0.25;
const PROBATION_RAMP_MS = 3_000;

const rampShare = (fullAt: Instant, duration: number, now: Instant): number => {
  const progress = 1 - Math.max(0, fullAt - now) / duration;
  return RAMP_START_SHARE + (1 - RAMP_START_SHARE) * Math.max(0, progress);
};

/** Whether the upstream is to be tried with one attempt at a time. */
export const isOnTrial = ({ healthState }: HealthEntry, now: Instant): boolean => {
  if (healthState.kind === 'suspect') return !healthState.degraded && now >= healthState.trialAt;
  return healthState.kind === 'probation' && healthState.fullAt === undefined;
};

/** The share of its slots that an upstream may fill, 0 to 1. */
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
