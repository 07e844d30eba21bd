import type { Instant, Millis } from '../../model';

import type { Entry } from './entry';
import type { HealthEffect } from './events';
import { startRound, type ProbeRound } from './probes';

const UPSTREAM_PROBE_TIMEOUT_MS: Millis = 400;
const SUSPECT_INTERVAL: Millis = 500;
/** After this long an unanswered probe is taken for lost. */
const ROUND_LIFETIME: Millis = 2_000;

/** How long between rounds of probes of an upstream that is out of service. */
export const PROBE_INTERVAL: Millis = 1_000;

const isRunning = (round: ProbeRound | undefined, now: Instant): boolean => {
  if (!round || (round.self && round.other)) return false;
  return now < round.startedAt + ROUND_LIFETIME;
};

/** Whether the standing of `entry` asks for a round of probes now. */
export const isProbeDue = ({ healthState, round, probeAt }: Entry, now: Instant): boolean => {
  if (now < probeAt || isRunning(round, now)) return false;
  switch (healthState.kind) {
    case 'suspect':
      return true;
    case 'ejected':
      return now >= healthState.until;
    case 'link-fault':
    case 'leaving':
      return now >= healthState.probeAt;
    case 'healthy':
    case 'probation':
    case 'cold':
      return false;
  }
};

/** The entry with a new round of probes. */
export const withProbes = (entry: Entry, now: Instant): Entry => {
  const wait = entry.healthState.kind === 'suspect' ? SUSPECT_INTERVAL : PROBE_INTERVAL;
  return { ...entry, round: startRound(now), probeAt: now + wait };
};

/** The probes of one round: from here and from another data centre. */
export const probeEffects = ({ upstream }: Entry, now: Instant): readonly HealthEffect[] => {
  const probe = {
    kind: 'probe',
    upstream: upstream.id,
    deadline: now + UPSTREAM_PROBE_TIMEOUT_MS,
  } as const;
  return [
    { ...probe, from: 'self' },
    { ...probe, from: 'other-data-centre' },
  ];
};
