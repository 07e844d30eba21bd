import type { DataCentre, Instant, Millis, UpstreamId } from '../../model';

import { failureProbability, faultProbabilityAt } from './fault-model';
import type { UpstreamStats } from './upstream-stats';

/** What a request asks of its upstream. */
export interface PlacementRequest {
  /** Whether a failure could be made good by a repeat. */
  readonly retryable: boolean;
  /** What its answer usually has. */
  readonly meanBytes: number;
  /** What its answer usually takes. */
  readonly meanLatency: Millis;
  /** Time within which its answer has its full value, from now on. */
  readonly objective: Millis;
  /** Time until its deadline. */
  readonly remaining: Millis;
  /** It has waited as long as it can: any upstream is better than none. */
  readonly lastResort: boolean;
  /** Upstreams that it has been sent to. */
  readonly tried: ReadonlySet<UpstreamId>;
}

/** Where a request goes. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly stats: UpstreamStats;
      readonly why: 'proven' | 'trial' | 'cover' | 'newcomer';
    }
  /** All upstreams are full, or left out for a moment. */
  | { readonly kind: 'full' }
  /** There is no upstream that could be used. */
  | { readonly kind: 'none' };

/** The service as a whole at the moment of choice. */
export interface PlacementContext {
  readonly now: Instant;
  readonly dataCentre: DataCentre;
  /** Whether this node hears what others send to the service. */
  readonly isOwner: boolean;
  /** From 0 to 1; lets equally good upstreams share the work. */
  readonly random: () => number;
  /** Share of the sound upstreams that get work at any time. */
  readonly coverShare: number;
  /** Whether this request may be used to cover one more. */
  readonly mayCover: boolean;
}

/** Costs are in chances of failure, so that they can be added to one. */
const COST = {
  /** Another data centre: its links fail more often. */
  otherDataCentre: 0.004,
  /** Each kilobyte of an answer from another data centre; the users pay for these bytes. */
  otherDataCentreKb: 0.005,
  /** The most that bytes from another data centre count; an ill upstream near by is worse. */
  otherDataCentreMost: 0.25,
  /**
   * An upstream with all slots taken; others may be sending there at this moment, and some slow
   * down when they are nearly full.
   */
  fullLoad: 0.1,
  /** A wait at the upstream as long as the time that is to spare: what a late answer loses. */
  late: 0.5,
  /** A failure of a request that can be repeated, in parts of one that can't. */
  retryableFailure: 0.35,
  /** Each whole multiple of the usual latency beyond the first. */
  slowness: 0.08,
  /** An upstream that has just started and is still slow. */
  cold: 0.05,
  /** Each request that is overdue there. */
  overdue: 0.25,
  /** The most that chance adds, so that nodes with the same knowledge do not all choose the same. */
  chance: 0.03,
} as const;

const BYTES_PER_KB = 1024;
/** A chance of failure up to which an upstream counts as proven. */
const PROVEN = 0.1;
/**
 * Lower chances count as this one: an upstream that has answered within the last three seconds is as
 * good as one that has just answered, so that load decides between them.
 */
const LEAST_FAILURE = 0.08;
/** A newcomer is given work when it has been known for this long and nobody has used it. */
const NEWCOMER_AFTER: Millis = 600;
/** An upstream counts as used for this long after a request; within the floor's window of 2 s. */
const USED_FOR: Millis = 1500;
/** An upstream that failed counts as unsound for this long; as the users count it. */
const UNSOUND_FOR: Millis = 2000;

/** What chance adds to the chance of being ill, so that owners do not all cover the same upstream. */
const COVER_JITTER = 0.5;

/** Requests that may wait at an upstream; the users' upstreams queue 24 before they shed. */
const MOST_QUEUED = 10;
/** Part of the time to the deadline that a request may wait at an upstream. */
const QUEUED_SHARE = 0.4;
/** A request waits for a better upstream rather than take one that costs more. */
const WORTH_WAITING = 0.3;

/** By how much an upstream's chance of failure must be lower to be worth a wait. */
const BETTER_BY = 0.1;
/** A request that can't be repeated is refused rather than sent where it is likelier to fail. */
const MOST_FAILURE = 0.5;

/** Time that a request would wait at an upstream for a slot. */
const queueTime = (load: number, slots: number, meanLatency: Millis): Millis =>
  (Math.max(0, load + 1 - slots) / slots) * meanLatency;

const hasRoom = (stats: UpstreamStats, request: PlacementRequest, now: Instant): boolean => {
  const { slots } = stats.upstream;
  const load = stats.load(now, request.meanLatency);
  const wait = queueTime(load, slots, request.meanLatency);
  return load < slots + MOST_QUEUED && wait <= QUEUED_SHARE * request.remaining;
};

/** What waiting for a slot there is expected to lose. */
const waitCost = (
  load: number,
  slots: number,
  { meanLatency, objective }: PlacementRequest,
): number => {
  const spare = Math.max(meanLatency / 2, objective - meanLatency);
  return COST.late * Math.min(1, queueTime(load, slots, meanLatency) / spare);
};

const distanceCost = (bytes: number): number =>
  COST.otherDataCentre +
  Math.min(COST.otherDataCentreMost, (COST.otherDataCentreKb * bytes) / BYTES_PER_KB);

/** What a request sent there now is expected to lose, in chances of failure. */
export const costOf = (
  stats: UpstreamStats,
  request: PlacementRequest,
  { now, dataCentre }: PlacementContext,
): number => {
  const { upstream } = stats;
  const load = stats.load(now, request.meanLatency);
  const failure = Math.max(LEAST_FAILURE, failureProbability(stats.belief, now));
  return (
    failure * (request.retryable ? COST.retryableFailure : 1) +
    waitCost(load, upstream.slots, request) +
    (upstream.dataCentre === dataCentre ? 0 : distanceCost(request.meanBytes)) +
    (COST.fullLoad * load) / upstream.slots +
    COST.slowness * Math.max(0, stats.latencyRatio - 1) +
    (now < upstream.warmedUpAt ? COST.cold : 0) +
    COST.overdue * stats.overdueCount(now)
  );
};

const least = (
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

/** An upstream that no node has used, and that could have been. */
const newcomerOf = (
  candidates: readonly UpstreamStats[],
  now: Instant,
): UpstreamStats | undefined =>
  candidates.find(
    (stats) =>
      stats.lastSentAt === Number.NEGATIVE_INFINITY &&
      stats.joinedAt !== undefined &&
      now - stats.joinedAt >= NEWCOMER_AFTER &&
      now >= stats.upstream.warmedUpAt,
  );

/**
 * The upstream to use next so that enough of the sound ones get work; undefined if enough do. Load
 * pattern: work keeps to a few proven upstreams, many owners cover the rest without knowing of each
 * other's requests under way, and suddenly many requests go unserved.
 */
const uncovered = (
  candidates: readonly UpstreamStats[],
  { coverShare, now, random }: PlacementContext,
): UpstreamStats | undefined => {
  const sound = candidates.filter((stats) => now - stats.failedAt >= UNSOUND_FOR);
  const unused = sound.filter((stats) => now - stats.lastSentAt >= USED_FOR);
  if (sound.length - unused.length >= coverShare * sound.length) return undefined;
  return least(
    unused.filter((stats) => !stats.isAvoided(now)),
    (stats) => faultProbabilityAt(stats.belief, now) + COVER_JITTER * random(),
  );
};

/**
 * Whether a request does better to wait than to go to the best upstream that has room: there must
 * be another that is likelier to be well.
 */
const isWorthWaiting = (
  best: UpstreamStats,
  ready: readonly UpstreamStats[],
  request: PlacementRequest,
  view: PlacementContext,
): boolean => {
  const failure = failureProbability(best.belief, view.now);
  const isBad = request.lastResort
    ? !request.retryable && failure > MOST_FAILURE
    : costOf(best, request, view) > WORTH_WAITING;
  if (!isBad) return false;
  return ready.some((stats) => failureProbability(stats.belief, view.now) + BETTER_BY < failure);
};

/**
 * Where a request goes. Load pattern: three in ten upstreams fail most of their requests for some
 * seconds, so that work goes to the few that have just proven well and reaches others only when
 * these are full.
 */
export const chooseUpstream = (
  candidates: readonly UpstreamStats[],
  request: PlacementRequest,
  view: PlacementContext,
): Placement => {
  const { now } = view;
  const ready = candidates.filter(
    ({ upstream }) => upstream.state === 'ready' && !request.tried.has(upstream.id),
  );
  if (ready.length === 0) return { kind: 'none' };
  const roomy = ready.filter((stats) => !stats.isAvoided(now) && hasRoom(stats, request, now));
  if (roomy.length === 0) return { kind: 'full' };
  if (request.tried.size === 0 && view.isOwner) {
    const newcomer = newcomerOf(roomy, now);
    if (newcomer) return { kind: 'send', stats: newcomer, why: 'newcomer' };
    const next = view.mayCover ? uncovered(ready, view) : undefined;
    if (next && hasRoom(next, request, now)) return { kind: 'send', stats: next, why: 'cover' };
  }
  const best = least(roomy, (stats) => costOf(stats, request, view) + COST.chance * view.random());
  if (!best) return { kind: 'full' };
  if (isWorthWaiting(best, ready, request, view)) return { kind: 'full' };
  const why = failureProbability(best.belief, now) <= PROVEN ? 'proven' : 'trial';
  return { kind: 'send', stats: best, why };
};
