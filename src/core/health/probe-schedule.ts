import type { Instant, Millis } from '../../model';

import type { HealthEntry } from './entry';
import type { HealthEffect } from './events';
import { startProbeRound, type ProbeRound } from './probe-round';

const UPSTREAM_PROBE_TIMEOUT_MS: Millis = 400;
const SUSPECT_PROBE_INTERVAL_MS: Millis = 500;
/** Time in milliseconds after which an incomplete probe round no longer blocks the next. */
const PROBE_ROUND_TIMEOUT_MS: Millis = 2_000;

/** Time in milliseconds between probe rounds of an upstream that is out of service. */
export const PROBE_INTERVAL_MS: Millis = 1_000;

const isRoundRunning = (round: ProbeRound | undefined, now: Instant): boolean => {
  if (!round || (round.self && round.other)) return false;
  return now < round.startedAt + PROBE_ROUND_TIMEOUT_MS;
};

/** Returns whether a probe round is due now in the entry's health state. */
export const isProbeDue = (
  { healthState, probeRound: round, nextProbeAt: probeAt }: HealthEntry,
  now: Instant,
): boolean => {
  if (now < probeAt || isRoundRunning(round, now)) return false;
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

/** Returns the entry with a new probe round started and the next one scheduled. */
export const withNewProbeRound = (entry: HealthEntry, now: Instant): HealthEntry => {
  const wait = entry.healthState.kind === 'suspect' ? SUSPECT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS;
  return { ...entry, probeRound: startProbeRound(now), nextProbeAt: now + wait };
};

/** Returns the probes of one round: from this node and from another data centre. */
export const probeEffects = ({ upstream }: HealthEntry, now: Instant): readonly HealthEffect[] => {
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
