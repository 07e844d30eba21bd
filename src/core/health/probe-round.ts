import type { AttemptResult, Instant, Millis } from '../../model';

import type { ProbeOrigin } from './events';

/** Time in milliseconds after which a round without both results counts as unsupported. */
const CONFIRMATION_TIMEOUT_MS: Millis = 500;
/**
 * A link is slow when the latency from here exceeds the latency from the other data centre times
 * this ratio, plus the margin.
 */
const SLOW_LINK_RATIO = 3;
const SLOW_LINK_MARGIN_MS: Millis = 50;

/** The results of one probe round; a result is undefined until it arrives. Immutable. */
export interface ProbeRound {
  readonly startedAt: Instant;
  readonly self: AttemptResult | undefined;
  readonly other: AttemptResult | undefined;
}

/** Whether a probe round confirms that a suspect is unreachable. */
export type ProbeVerdict =
  /** The results are not complete yet. */
  | 'pending'
  /** The upstream is unreachable from here and from the other data centre. */
  | 'confirmed'
  /** The other data centre reaches the upstream; this node does not, or only slowly. */
  | 'link-fault'
  /** The probes show no fault or are missing: only the evidence from attempts decides. */
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

/** Returns whether a probe got any answer; the health that the answer reports is not trusted. */
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

/** Returns the verdict of a probe round at `now`. */
export const probeVerdict = (round: ProbeRound, now: Instant): ProbeVerdict => {
  const { self, other } = round;
  if (!other || !self)
    return now < round.startedAt + CONFIRMATION_TIMEOUT_MS ? 'pending' : 'unsupported';
  if (!isReachable(other)) return isReachable(self) ? 'unsupported' : 'confirmed';
  if (!isReachable(self) || isLinkSlow(self, other)) return 'link-fault';
  return 'unsupported';
};
