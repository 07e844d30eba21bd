import type { AttemptResult, Instant, Millis } from '../../model';

import type { ProbeOrigin } from './events';

/** How long a confirmation is waited for. */
const CONFIRMATION_TIMEOUT_MS: Millis = 500;
const SLOW_LINK_RATIO = 3;
const SLOW_LINK_MARGIN_MS: Millis = 50;

/** How the probes of one round ended. Immutable. */
export interface ProbeRound {
  readonly startedAt: Instant;
  readonly self: AttemptResult | undefined;
  readonly other: AttemptResult | undefined;
}

/** What a round of probes says of an accusation. */
export type ProbeVerdict =
  /** Wait for the probes. */
  | 'pending'
  /** Unreachable from the other data centre too. */
  | 'confirmed'
  /** Fine from there, not from here. */
  | 'link-fault'
  /** Probes find nothing, or none can be sent: the evidence of real attempts has to suffice. */
  | 'unsupported';

export const startProbeRound = (now: Instant): ProbeRound => ({
  startedAt: now,
  self: undefined,
  other: undefined,
});

export const withProbeResult = (
  round: ProbeRound,
  from: ProbeOrigin,
  result: AttemptResult,
): ProbeRound => (from === 'self' ? { ...round, self: result } : { ...round, other: result });

/** Whether a probe got any answer; what the answer says of its sender is not trusted. */
export const isReachable = (result: AttemptResult): boolean =>
  result.kind === 'ok' || result.kind === 'error-status' || result.kind === 'shed';

const latencyOf = (result: AttemptResult): Millis | undefined =>
  result.kind === 'ok' || result.kind === 'error-status' ? result.latency : undefined;

const isLinkSlow = (self: AttemptResult, other: AttemptResult): boolean => {
  const here = latencyOf(self);
  const there = latencyOf(other);
  if (here === undefined || there === undefined) return false;
  return here > there * SLOW_LINK_RATIO + SLOW_LINK_MARGIN_MS;
};

/** Judges a round. */
export const probeVerdict = (round: ProbeRound, now: Instant): ProbeVerdict => {
  const { self, other } = round;
  if (!other || !self)
    return now < round.startedAt + CONFIRMATION_TIMEOUT_MS ? 'pending' : 'unsupported';
  if (!isReachable(other)) return isReachable(self) ? 'unsupported' : 'confirmed';
  if (!isReachable(self) || isLinkSlow(self, other)) return 'link-fault';
  return 'unsupported';
};
