import type { Instant, Millis, Upstream } from '../../model';

import type { HealthState } from './events';
import type { ProbeRound } from './probes';
import type { Test } from './upstream-evidence';

const MAX_HOLD_DOWN: Millis = 300_000;
/** An upstream healthy for this many hold-downs has one flap forgiven. */
const FORGIVE_AFTER_HOLD_DOWNS = 4;

/** One upstream of a shard and its standing. Immutable. */
export interface Entry {
  readonly upstream: Upstream;
  readonly healthState: HealthState;
  /** The test that raised suspicion last. */
  readonly raisedBy: Test;
  readonly round: ProbeRound | undefined;
  /** When the next round of probes is due, while the standing asks for any. */
  readonly probeAt: Instant;
  /** Ejections not yet forgiven. */
  readonly flaps: number;
  readonly forgiveAt: Instant;
  /** The last ejection that was refused, until the standing changes. */
  readonly refused: boolean;
}

export const newEntry = (upstream: Upstream, healthState: HealthState): Entry => ({
  upstream,
  healthState,
  raisedBy: 'failure',
  round: undefined,
  probeAt: -Infinity,
  flaps: 0,
  forgiveAt: Infinity,
  refused: false,
});

/** How long an ejection of this entry lasts: doubled by each flap, up to 5 minutes. */
export const holdDownOf = (entry: Entry, base: Millis): Millis =>
  Math.min(MAX_HOLD_DOWN, base * 2 ** entry.flaps);

/** The entry with one more flap. */
export const withFlap = (entry: Entry): Entry => ({ ...entry, flaps: entry.flaps + 1 });

/** The entry with its flaps forgiven so far as it has been healthy long enough. */
export const forgive = (entry: Entry, base: Millis, now: Instant): Entry => {
  if (entry.flaps === 0 || entry.healthState.kind !== 'healthy') {
    return { ...entry, forgiveAt: Infinity };
  }
  const wait = holdDownOf(entry, base) * FORGIVE_AFTER_HOLD_DOWNS;
  if (entry.forgiveAt === Infinity) return { ...entry, forgiveAt: now + wait };
  if (now < entry.forgiveAt) return entry;
  return { ...entry, flaps: entry.flaps - 1, forgiveAt: Infinity };
};
