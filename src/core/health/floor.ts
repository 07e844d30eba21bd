import type { UpstreamId } from '../../model';

import type { HealthEntry } from './entry';

const ROUNDING_TOLERANCE_SLOTS = 1e-9;

const slotsOf = (entries: readonly HealthEntry[]): number =>
  entries.reduce((sum, { upstream }) => sum + upstream.slots, 0);

/** Whether the floor counts an upstream: not ejected, back on probation, leaving or cold. */
export const isInService = ({ healthState }: HealthEntry): boolean =>
  healthState.kind === 'healthy' ||
  healthState.kind === 'suspect' ||
  healthState.kind === 'link-fault';

/** The slots that ejection has to leave in service. */
export const requiredSlots = (entries: readonly HealthEntry[], floor: number): number =>
  Math.ceil(slotsOf(entries) * floor - ROUNDING_TOLERANCE_SLOTS);

/** The slots in service beyond the floor; negative below it. */
export const spareSlots = (entries: readonly HealthEntry[], floor: number): number =>
  slotsOf(entries.filter(isInService)) - requiredSlots(entries, floor);

/** Whether `entry` may be ejected: it is out of service already, or the floor can spare it. */
export const canEject = (
  entries: readonly HealthEntry[],
  entry: HealthEntry,
  floor: number,
): boolean => !isInService(entry) || spareSlots(entries, floor) >= entry.upstream.slots;

/** The ejected upstream to take back while the floor is not met: the one that flapped least. */
export const upstreamToReadmit = (
  entries: readonly HealthEntry[],
  floor: number,
): HealthEntry | undefined => {
  if (spareSlots(entries, floor) >= 0) return undefined;
  const ejected = entries.filter(({ healthState }) => healthState.kind === 'ejected');
  return [...ejected].sort((a, b) => a.flapCount - b.flapCount)[0];
};

/** How much worse a suspect has to be to be paused in place of another, in nats. */
const SWAP_MARGIN_NATS = 3;

/**
 * The suspects that the floor can't spare and that are degraded in place of paused: the least bad
 * by `scoreOf`, with a margin so that they don't take turns.
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
