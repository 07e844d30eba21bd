import type { Instant, Millis, Upstream } from '../../model';

import type { HealthState } from './events';
import type { ProbeRound } from './probe-round';
import type { SequentialTest } from './upstream-evidence';

const MAX_HOLD_DOWN_MS: Millis = 300_000;
/** Number of hold-down periods an upstream stays healthy before its flap count drops by one. */
const FLAP_DECAY_HOLD_DOWN_COUNT = 4;

/** Describes one upstream of a shard: its health state, probes and ejection history. Immutable. */
export interface HealthEntry {
  readonly upstream: Upstream;
  readonly healthState: HealthState;
  /** The sequential test that last made the upstream suspect. */
  readonly raisedBy: SequentialTest;
  readonly probeRound: ProbeRound | undefined;
  /** Earliest time of the next probe round, in the health states that are probed. */
  readonly nextProbeAt: Instant;
  /** Number of recent ejections; each one doubles the next hold-down. */
  readonly flapCount: number;
  /** Time at which `flapCount` drops by one; infinite while no decay is scheduled. */
  readonly flapDecayAt: Instant;
  /** Whether an ejection was refused since the health state last changed; limits reports to one. */
  readonly ejectionRefused: boolean;
}

export const newHealthEntry = (upstream: Upstream, healthState: HealthState): HealthEntry => ({
  upstream,
  healthState,
  raisedBy: 'failure',
  probeRound: undefined,
  nextProbeAt: -Infinity,
  flapCount: 0,
  flapDecayAt: Infinity,
  ejectionRefused: false,
});

/** Returns how long an ejection lasts in milliseconds: `base` doubled per flap, up to 5 minutes. */
export const holdDownDuration = (entry: HealthEntry, base: Millis): Millis =>
  Math.min(MAX_HOLD_DOWN_MS, base * 2 ** entry.flapCount);

/** Returns the entry with one more flap. */
export const withFlap = (entry: HealthEntry): HealthEntry => ({
  ...entry,
  flapCount: entry.flapCount + 1,
});

/** Returns the entry with one flap less if it has been healthy for long enough. */
export const decayFlaps = (entry: HealthEntry, base: Millis, now: Instant): HealthEntry => {
  if (entry.flapCount === 0 || entry.healthState.kind !== 'healthy') {
    return { ...entry, flapDecayAt: Infinity };
  }
  const wait = holdDownDuration(entry, base) * FLAP_DECAY_HOLD_DOWN_COUNT;
  if (entry.flapDecayAt === Infinity) return { ...entry, flapDecayAt: now + wait };
  if (now < entry.flapDecayAt) return entry;
  return { ...entry, flapCount: entry.flapCount - 1, flapDecayAt: Infinity };
};
