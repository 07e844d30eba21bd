import type { UpstreamId } from '../../model';

import type { HealthEntry } from './entry';

/** Slots subtracted before rounding up, so that floating-point error adds no slot. */
const ROUNDING_TOLERANCE_SLOTS = 1e-9;

const slotsOf = (entries: readonly HealthEntry[]): number =>
  entries.reduce((sum, { upstream }) => sum + upstream.slots, 0);

/**
 * Returns whether the upstream's slots count towards the capacity floor: it is not ejected, on
 * probation, leaving or cold.
 */
export const isInService = ({ healthState }: HealthEntry): boolean =>
  healthState.kind === 'healthy' ||
  healthState.kind === 'suspect' ||
  healthState.kind === 'link-fault';

/** Returns the number of slots that must stay in service; `floor` is their share, 0 to 1. */
export const requiredSlots = (entries: readonly HealthEntry[], floor: number): number =>
  Math.ceil(slotsOf(entries) * floor - ROUNDING_TOLERANCE_SLOTS);

/** Returns the number of slots in service above the floor; negative below it. */
export const spareSlots = (entries: readonly HealthEntry[], floor: number): number =>
  slotsOf(entries.filter(isInService)) - requiredSlots(entries, floor);

/** Returns whether `entry` is out of service already or the floor is met without its slots. */
export const canEject = (
  entries: readonly HealthEntry[],
  entry: HealthEntry,
  floor: number,
): boolean => !isInService(entry) || spareSlots(entries, floor) >= entry.upstream.slots;

/** Selects the ejected upstream with the fewest flaps if the floor is not met. */
export const upstreamToReadmit = (
  entries: readonly HealthEntry[],
  floor: number,
): HealthEntry | undefined => {
  if (spareSlots(entries, floor) >= 0) return undefined;
  const ejected = entries.filter(({ healthState }) => healthState.kind === 'ejected');
  return [...ejected].sort((a, b) => a.flapCount - b.flapCount)[0];
};

/** Score advantage in nats of a paused suspect, so that suspects don't alternate. */
const SWAP_MARGIN_NATS = 3;

/**
 * Selects the suspects whose slots the floor needs, which are degraded and not paused: those with
 * the least evidence against them by `scoreOf`, in nats.
 */
export const suspectsToDegrade = (
  entries: readonly HealthEntry[],
  scoreOf: (id: UpstreamId) => number,
  floor: number,
): ReadonlySet<UpstreamId> => {
  const suspects = entries.filter(({ healthState }) => healthState.kind === 'suspect');
  const rank = ({ upstream, healthState }: HealthEntry): number => {
    const isPaused = healthState.kind === 'suspect' && !healthState.degraded;
    return scoreOf(upstream.id) + (isPaused ? SWAP_MARGIN_NATS : 0);
  };
  const worstFirst = suspects.sort((a, b) => rank(b) - rank(a));
  const degraded = new Set<UpstreamId>();
  let spare = spareSlots(entries, floor);
  worstFirst.forEach(({ upstream }) => {
    if (spare >= upstream.slots) spare -= upstream.slots;
    else degraded.add(upstream.id);
  });
  return degraded;
};
