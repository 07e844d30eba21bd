import type { DataCentre, Instant, Millis, UpstreamId } from '../../model';

import { failureProbability, faultProbabilityAt } from './fault-model';
import type { UpstreamStats } from './upstream-stats';

/** The properties of a request that the choice of its upstream depends on. */
export interface PlacementRequest {
  /** Whether the request may be sent again after a failed attempt. */
  readonly retryable: boolean;
  /** Mean length in bytes of the answer bodies on the request's route. */
  readonly meanBytes: number;
  /** Mean latency in milliseconds of the answers on the request's route. */
  readonly meanLatency: Millis;
  /** Milliseconds from now within which an answer meets the route's latency objective. */
  readonly objective: Millis;
  /** Milliseconds from now until the request's deadline. */
  readonly remaining: Millis;
  /** Whether the request can wait no longer, so that any upstream is preferred to none. */
  readonly lastResort: boolean;
  /** Upstreams that the request has already been sent to; they are not chosen again. */
  readonly tried: ReadonlySet<UpstreamId>;
}

/** The result of choosing an upstream for a request. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly stats: UpstreamStats;
      /**
       * Reason for the choice: `proven` has a low failure probability, `trial` has a higher one but
       * the lowest cost, `cover` had no request recently, `newcomer` never had one.
       */
      readonly why: 'proven' | 'trial' | 'cover' | 'newcomer';
    }
  /**
   * Every ready upstream is full or avoided for a moment, or it is better to wait for another one.
   */
  | { readonly kind: 'full' }
  /** No upstream is ready that the request has not been sent to. */
  | { readonly kind: 'none' };

/** The state of the node and the service when an upstream is chosen. */
export interface PlacementContext {
  readonly now: Instant;
  readonly dataCentre: DataCentre;
  /** Whether this node is an owner of the service and receives the other owners' observations. */
  readonly isOwner: boolean;
  /**
   * Returns a number from 0 up to but excluding 1; spreads requests over equally good upstreams.
   */
  readonly random: () => number;
  /**
   * Lowest ratio, 0 to 1, of the upstreams without a recent failure that should have had a recent
   * request.
   */
  readonly minCoverageRatio: number;
  /** Whether this request may go to an upstream because that has had no request recently. */
  readonly coverageAllowed: boolean;
}

/** Cost weights in units of failure probability, so that they can be added to one. */
const COST_WEIGHTS = {
  /**
   * Cost of an upstream in another data centre, since links between data centres fail more often.
   */
  otherDataCentre: 0.004,
  /**
   * Cost of each kilobyte (1024 bytes) that an answer carries from another data centre, since that
   * traffic is paid for.
   */
  otherDataCentrePerKilobyte: 0.005,
  /**
   * Upper bound of the cost of bytes from another data centre; a faulty local upstream costs more.
   */
  otherDataCentreBytesMax: 0.25,
  /**
   * Cost of an upstream whose slots are all taken, in proportion below that. Other nodes may be
   * sending there at the same time, and some upstreams slow down when they are nearly full.
   */
  fullLoad: 0.1,
  /**
   * Cost of queueing at the upstream for as long as the objective leaves to spare: the loss by a
   * late answer.
   */
  queueDelay: 0.5,
  /** Ratio of the cost of a failure that can be retried to the cost of one that can't. */
  retryableFailureFactor: 0.35,
  /** Cost of each multiple of the mean latency beyond the first. */
  excessLatency: 0.08,
  /** Cost of an upstream that has just started and is still warming up. */
  warmingUp: 0.05,
  /** Cost of each overdue request at the upstream. */
  overdueRequest: 0.25,
  /**
   * Upper bound of the random cost; higher values make nodes with equal knowledge pick different
   * upstreams more often.
   */
  jitterMax: 0.03,
} as const;

const BYTES_PER_KB = 1024;
/** Failure probability up to which a chosen upstream is reported as `proven`. */
const MAX_PROVEN_FAILURE_PROBABILITY = 0.1;
/**
 * Failure probability that lower ones are raised to. An upstream that answered within the last
 * three seconds then costs as much as one that has just answered, so that load decides between
 * them.
 */
const MIN_FAILURE_PROBABILITY = 0.08;
/**
 * Time in milliseconds since an upstream joined after which it gets a request if it has had none.
 */
const NEWCOMER_MIN_AGE_MS: Millis = 600;
/**
 * Time in milliseconds for which a request counts as recent; less than the 2 s window in which
 * `GatewayBounds.floorShare` holds.
 */
const RECENT_USE_WINDOW_MS: Millis = 1500;
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
 * Number of requests beyond its slots that an upstream may hold; it stays below the queue length at
 * which upstreams shed.
 */
const MAX_QUEUED_COUNT = 10;
/** Ratio of the time to the deadline that a request may spend queued at an upstream. */
const MAX_QUEUE_TIME_RATIO = 0.4;
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

/** Returns the time in milliseconds that a request would wait for a slot at an upstream. */
const queueTime = (load: number, slots: number, meanLatency: Millis): Millis =>
  (Math.max(0, load + 1 - slots) / slots) * meanLatency;

const hasFreeSlot = (
  stats: UpstreamStats,
  { meanLatency }: PlacementRequest,
  now: Instant,
): boolean => stats.load(now, meanLatency) < stats.upstream.slots;

const hasCapacity = (stats: UpstreamStats, request: PlacementRequest, now: Instant): boolean => {
  const { slots } = stats.upstream;
  const load = stats.load(now, request.meanLatency);
  const wait = queueTime(load, slots, request.meanLatency);
  return load < slots + MAX_QUEUED_COUNT && wait <= MAX_QUEUE_TIME_RATIO * request.remaining;
};

/** Returns the cost of queueing for a slot at an upstream, in units of failure probability. */
const queueDelayCost = (
  load: number,
  slots: number,
  { meanLatency, objective }: PlacementRequest,
): number => {
  const spare = Math.max(meanLatency / 2, objective - meanLatency);
  return COST_WEIGHTS.queueDelay * Math.min(1, queueTime(load, slots, meanLatency) / spare);
};

const otherDataCentreCost = (bytes: number): number =>
  COST_WEIGHTS.otherDataCentre +
  Math.min(
    COST_WEIGHTS.otherDataCentreBytesMax,
    (COST_WEIGHTS.otherDataCentrePerKilobyte * bytes) / BYTES_PER_KB,
  );

/** Returns the cost of sending a request to an upstream now, in units of failure probability. */
export const expectedCost = (
  stats: UpstreamStats,
  request: PlacementRequest,
  { now, dataCentre }: PlacementContext,
): number => {
  const { upstream } = stats;
  const load = stats.load(now, request.meanLatency);
  const failure = Math.max(MIN_FAILURE_PROBABILITY, failureProbability(stats.belief, now));
  return (
    failure * (request.retryable ? COST_WEIGHTS.retryableFailureFactor : 1) +
    queueDelayCost(load, upstream.slots, request) +
    (upstream.dataCentre === dataCentre ? 0 : otherDataCentreCost(request.meanBytes)) +
    (COST_WEIGHTS.fullLoad * load) / upstream.slots +
    COST_WEIGHTS.excessLatency * Math.max(0, stats.latencyRatio - 1) +
    (now < upstream.warmedUpAt ? COST_WEIGHTS.warmingUp : 0) +
    COST_WEIGHTS.overdueRequest * stats.overdueCount(now)
  );
};

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
    (stats) => faultProbabilityAt(stats.belief, now) + MAX_COVERAGE_JITTER * random(),
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
  context: PlacementContext,
): boolean => {
  const failure = failureProbability(best.belief, context.now);
  const isBad = request.lastResort
    ? !request.retryable && failure > MAX_LAST_RESORT_FAILURE_PROBABILITY
    : expectedCost(best, request, context) > MAX_ACCEPTED_COST;
  if (!isBad) return false;
  return ready.some(
    (stats) =>
      failureProbability(stats.belief, context.now) + MIN_FAILURE_PROBABILITY_GAIN < failure,
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
 * lowest expected cost that has capacity. Load pattern: at any time about three in ten upstreams
 * fail most of their requests for some seconds, so that those with recent successes are preferred
 * and others are used only when these are full.
 */
export const chooseUpstream = (
  candidates: readonly UpstreamStats[],
  request: PlacementRequest,
  context: PlacementContext,
): Placement => {
  const { now } = context;
  const ready = candidates.filter(
    ({ upstream }) => upstream.state === 'ready' && !request.tried.has(upstream.id),
  );
  if (ready.length === 0) return { kind: 'none' };
  const available = ready.filter(
    (stats) => !stats.isAvoided(now) && hasCapacity(stats, request, now),
  );
  if (available.length === 0) return { kind: 'full' };
  if (request.tried.size === 0 && context.isOwner) {
    const newcomer = findNewcomer(available, now);
    if (newcomer) return { kind: 'send', stats: newcomer, why: 'newcomer' };
    const next = context.coverageAllowed ? findUpstreamToCover(ready, context) : undefined;
    if (next && hasCapacity(next, request, now)) return { kind: 'send', stats: next, why: 'cover' };
  }
  const best = minBy(
    preferRegistered(available, request, now),
    (stats) => expectedCost(stats, request, context) + COST_WEIGHTS.jitterMax * context.random(),
  );
  if (!best) return { kind: 'full' };
  if (isWorthWaiting(best, ready, request, context)) return { kind: 'full' };
  const why =
    failureProbability(best.belief, now) <= MAX_PROVEN_FAILURE_PROBABILITY ? 'proven' : 'trial';
  return { kind: 'send', stats: best, why };
};
