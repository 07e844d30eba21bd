import type { Instant } from '../../model';

import type { Entry } from './entry';
import { COLD_RAMP } from './review';

/** What an upstream on trial gets: one attempt at a time. */
export const TRIAL_SHARE = 0.05;
const DEGRADED_SHARE = 0.5;
const RAMP_START = 0.25;
const RAMP_DURATION = 3_000;

const ramp = (fullAt: Instant, duration: number, now: Instant): number => {
  const progress = 1 - Math.max(0, fullAt - now) / duration;
  return RAMP_START + (1 - RAMP_START) * Math.max(0, progress);
};

/** Whether the upstream is to be tried with one attempt at a time. */
export const isOnTrial = ({ healthState }: Entry, now: Instant): boolean => {
  if (healthState.kind === 'suspect') return !healthState.degraded && now >= healthState.trialAt;
  return healthState.kind === 'probation' && healthState.fullAt === undefined;
};

/** The share of its slots that an upstream may fill, 0 to 1. */
export const shareOf = (entry: Entry, now: Instant): number => {
  const { healthState } = entry;
  if (isOnTrial(entry, now)) return TRIAL_SHARE;
  switch (healthState.kind) {
    case 'healthy':
      return 1;
    case 'suspect':
      return healthState.degraded ? DEGRADED_SHARE : 0;
    case 'probation':
      return ramp(healthState.fullAt ?? Infinity, RAMP_DURATION, now);
    case 'cold':
      return ramp(healthState.fullAt, COLD_RAMP, now);
    case 'ejected':
    case 'link-fault':
    case 'leaving':
      return 0;
  }
};
