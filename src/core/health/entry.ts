import type { Instant, Millis, Upstream } from '../../model';

import type { HealthState } from './events';
import type { ProbeRound } from './probe-round';
import type { SequentialTest } from './upstream-evidence';

const MAX_HOLD_DOWN_MS: Millis = 300_000;
/** An upstream healthy for this many hold-downs has one flap forgiven. */
const FLAP_DECAY_HOLD_DOWN_COUNT = 4;

/** One upstream of a shard and its standing. Immutable. */
export interface HealthEntry {
  readonly upstream: Upstream;
  readonly healthState: HealthState;
  /** The test that raised suspicion last. */
  readonly raisedBy: SequentialTest;
  readonly probeRound: ProbeRound | undefined;
  /** When the next round of probes is due, while the standing asks for any. */
  readonly nextProbeAt: Instant;
  /** Ejections not yet forgiven. */
  readonly flapCount: number;
  readonly flapDecayAt: Instant;
  /** The last ejection that was refused, until the standing changes. */
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

/** How long an ejection of this entry lasts: doubled by each flap, up to 5 minutes. */
export const holdDownDuration = (entry: HealthEntry, base: Millis): Millis =>
  Math.min(MAX_HOLD_DOWN_MS, base * 2 ** entry.flapCount);

/** The entry with one more flap. */
export const withFlap = (entry: HealthEntry): HealthEntry => ({
  ...entry,
  flapCount: entry.flapCount + 1,
});

/** The entry with its flaps forgiven so far as it has been healthy long enough. */
export const decayFlaps = (entry: HealthEntry, base: Millis, now: Instant): HealthEntry => {
  if (entry.flapCount === 0 || entry.healthState.kind !== 'healthy') {
    return { ...entry, flapDecayAt: Infinity };
  }
  const wait = holdDownDuration(entry, base) * FLAP_DECAY_HOLD_DOWN_COUNT;
  if (entry.flapDecayAt === Infinity) return { ...entry, flapDecayAt: now + wait };
  if (now < entry.flapDecayAt) return entry;
  return { ...entry, flapCount: entry.flapCount - 1, flapDecayAt: Infinity };
};
