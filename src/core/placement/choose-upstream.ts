import type { Instant, Millis } from '../../model';

import { expectedCost, hasCapacity, hasFreeSlot, type CostContext } from './expected-cost';
import type { Placement, PlacementContext, PlacementRequest } from './placement';
import type { UpstreamStats } from './upstream-stats';

/** Failure probability up to which a chosen upstream is reported as `proven`. */
const MAX_PROVEN_FAILURE_PROBABILITY = 0.1;
/**
 * Time in milliseconds since an upstream joined after which it gets a request if it has had none.
 */
const NEWCOMER_MIN_AGE_MS: Millis = 600;
/**
 * Time in milliseconds for which a request counts as recent; less than the 2 s window in which
 * `GatewayBounds.floorShare` holds.
 */
export const RECENT_USE_WINDOW_MS: Millis = 1500;
/**
 * Time in milliseconds after a failure for which an upstream does not count toward
 * `GatewayBounds.floorShare`.
 */
const RECENT_FAILURE_WINDOW_MS: Millis = 2000;

/**
 * Upper bound of the random part added to a fault probability, so that owners do not all cover the
 * same upstream.
 */
const MAX_COVERAGE_JITTER = 0.5;

/**
 * Upper bound of the random cost, in units of failure probability; higher values make nodes with
 * equal knowledge pick different upstreams more often.
 */
const MAX_COST_JITTER = 0.03;
/** Cost, in units of failure probability, above which a request waits for a better upstream. */
const MAX_ACCEPTED_COST = 0.3;

/**
 * Difference by which another upstream's failure probability must be lower to be worth waiting for.
 */
const MIN_FAILURE_PROBABILITY_GAIN = 0.1;
/**
 * Failure probability above which a non-retryable request is not sent even as a last resort, if a
 * better upstream exists.
 */
const MAX_LAST_RESORT_FAILURE_PROBABILITY = 0.5;

const minBy = (
  candidates: readonly UpstreamStats[],
  measure: (stats: UpstreamStats) => number,
): UpstreamStats | undefined => {
  let best: UpstreamStats | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  candidates.forEach((stats) => {
    const value = measure(stats);
    if (value >= lowest) return;
    best = stats;
    lowest = value;
  });
  return best;
};

/**
 * Returns an upstream that no node has used although it has been ready and warm for long enough.
 */
const findNewcomer = (
  candidates: readonly UpstreamStats[],
  now: Instant,
): UpstreamStats | undefined =>
  candidates.find(
    (stats) =>
      !stats.isLapsed &&
      stats.lastSentAt === Number.NEGATIVE_INFINITY &&
      stats.joinedAt !== undefined &&
      now - stats.joinedAt >= NEWCOMER_MIN_AGE_MS &&
      now >= stats.upstream.warmedUpAt,
  );

/**
 * Returns the upstream to use next so that enough of those without a recent failure get requests;
 * undefined if enough do. Load pattern: requests concentrate on a few proven upstreams, and many
 * owners cover the rest without knowing of each other's requests in flight; when suddenly many
 * requests go unserved, `GatewayBounds.floorShare` must hold.
 */
const findUpstreamToCover = (
  candidates: readonly UpstreamStats[],
  { minCoverageRatio, now, random }: PlacementContext,
): UpstreamStats | undefined => {
  const healthy = candidates.filter(
    (stats) => !stats.isLapsed && now - stats.lastFailedAt >= RECENT_FAILURE_WINDOW_MS,
  );
  const unused = healthy.filter((stats) => now - stats.lastSentAt >= RECENT_USE_WINDOW_MS);
  if (healthy.length - unused.length >= minCoverageRatio * healthy.length) return undefined;
  return minBy(
    unused.filter((stats) => !stats.isAvoided(now)),
    (stats) => stats.faultProbability(now) + MAX_COVERAGE_JITTER * random(),
  );
};

/**
 * Returns whether a request should wait instead of going to the best upstream with capacity. It
 * should only if that one is bad and another upstream is less likely to fail.
 */
const isWorthWaiting = (
  best: UpstreamStats,
  ready: readonly UpstreamStats[],
  request: PlacementRequest,
  context: CostContext,
): boolean => {
  const failure = best.failureProbability(context.now);
  const isBad = request.lastResort
    ? !request.retryable && failure > MAX_LAST_RESORT_FAILURE_PROBABILITY
    : expectedCost(best, request, context) > MAX_ACCEPTED_COST;
  if (!isBad) return false;
  return ready.some(
    (stats) => stats.failureProbability(context.now) + MIN_FAILURE_PROBABILITY_GAIN < failure,
  );
};

/**
 * Returns the registered upstreams with a free slot, or all if there are none. Load pattern: some
 * registrations have lapsed with the store, and few of these upstreams are gone.
 */
const preferRegistered = (
  available: readonly UpstreamStats[],
  request: PlacementRequest,
  now: Instant,
): readonly UpstreamStats[] => {
  if (!available.some(({ isLapsed }) => isLapsed)) return available;
  const registered = available.filter(
    (stats) => !stats.isLapsed && hasFreeSlot(stats, request, now),
  );
  return registered.length > 0 ? registered : available;
};

/**
 * Selects the upstream for a request: on an owner first a newcomer or one to cover, else the one of
 * lowest expected cost that has capacity. Load pattern: at any time some of the upstreams fail most
 * of their requests for some seconds, so that those with recent successes are preferred
 * and others are used only when these are full.
 */
export const chooseUpstream = (
  candidates: readonly UpstreamStats[],
  request: PlacementRequest,
  context: PlacementContext,
): Placement => {
  const { now } = context;
  const ready = candidates.filter(
    ({ upstream, terms }) =>
      upstream.state === 'ready' && !terms.isLeaving && !request.tried.has(upstream.id),
  );
  if (ready.length === 0) return { kind: 'none' };
  const heldUntil = ready.map(({ terms }) => terms.heldUntil(context.sendingHosts));
  const open = ready.filter((_, i) => now >= (heldUntil[i] ?? now));
  if (open.length === 0) return { kind: 'held', until: Math.min(...heldUntil) };
  const available = open.filter(
    (stats) => !stats.isAvoided(now) && hasCapacity(stats, request, now),
  );
  if (available.length === 0) return { kind: 'full' };
  if (request.tried.size === 0 && context.isOwner) {
    const newcomer = context.disabled.has('newcomers') ? undefined : findNewcomer(available, now);
    if (newcomer) return { kind: 'send', stats: newcomer, why: 'newcomer' };
    const next = findUpstreamToCover(open, context);
    if (next && hasCapacity(next, request, now)) return { kind: 'send', stats: next, why: 'cover' };
  }
  const costContext = {
    now,
    dataCentre: context.dataCentre,
    costs: context.costs,
    disabled: context.disabled,
    hasFreeSlotElsewhere: available.some(
      (stats) =>
        stats.upstream.dataCentre !== context.dataCentre && hasFreeSlot(stats, request, now),
    ),
  };
  const best = minBy(
    preferRegistered(available, request, now),
    (stats) => expectedCost(stats, request, costContext) + MAX_COST_JITTER * context.random(),
  );
  if (!best) return { kind: 'full' };
  if (isWorthWaiting(best, open, request, costContext)) return { kind: 'full' };
  const why = best.failureProbability(now) <= MAX_PROVEN_FAILURE_PROBABILITY ? 'proven' : 'trial';
  return { kind: 'send', stats: best, why };
};
