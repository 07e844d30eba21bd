import type { DataCentre, Instant, Millis, UpstreamId } from '../../model';

import { failureChance } from './spell';
import type { Track } from './track';

/** What a request asks of its upstream. */
export interface PlacementRequest {
  readonly idempotent: boolean;
  /** What its answer usually has. */
  readonly usualBytes: number;
  /** Upstreams that it has been sent to. */
  readonly tried: ReadonlySet<UpstreamId>;
}

/** Where a request goes. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly track: Track;
      readonly why: 'proven' | 'trial' | 'spread' | 'newcomer';
    }
  /** All upstreams are full, or left out for a moment. */
  | { readonly kind: 'full' }
  /** There is no upstream that could be used. */
  | { readonly kind: 'none' };

/** The service as a whole at the moment of choice. */
export interface PlacementView {
  readonly now: Instant;
  readonly dataCentre: DataCentre;
  /** Whether this node hears what others send to the service. */
  readonly isOwner: boolean;
  /** Work must reach more of the upstreams, as too many requests go unserved. */
  readonly spread: boolean;
}

/** Costs are in chances of failure, so that they can be added to one. */
const COST = {
  /** Another data centre: its links fail more often. */
  otherDataCentre: 0.004,
  /** Each kilobyte of an answer from another data centre; the users pay for these bytes. */
  otherDataCentreKb: 0.0025,
  /** The most that bytes from another data centre count; an ill upstream near by is worse. */
  otherDataCentreMost: 0.12,
  /** An upstream with all slots taken; some slow down when they are nearly full. */
  fullLoad: 0.01,
  /** Each whole multiple of the usual latency beyond the first. */
  slowness: 0.08,
  /** An upstream that has just started and is still slow. */
  cold: 0.05,
  /** Each request that is overdue there. */
  overdue: 0.25,
} as const;

const BYTES_PER_KB = 1024;
/** A chance of failure up to which an upstream counts as proven. */
export const PROVEN = 0.1;
/** A newcomer is given work when it has been known for this long and nobody has used it. */
const NEWCOMER_AFTER: Millis = 600;
/** While spreading, each upstream is used again after at most this long; from the floor's window of 2 s. */
const SPREAD_PERIOD: Millis = 1200;

const hasRoom = (track: Track, now: Instant): boolean => track.load(now) < track.upstream.slots;

const distanceCost = (bytes: number): number =>
  COST.otherDataCentre +
  Math.min(COST.otherDataCentreMost, (COST.otherDataCentreKb * bytes) / BYTES_PER_KB);

/** What a request sent there now is expected to lose, in chances of failure. */
export const costOf = (
  track: Track,
  { usualBytes }: PlacementRequest,
  { now, dataCentre }: PlacementView,
): number => {
  const { upstream } = track;
  return (
    failureChance(track.belief, now) +
    (upstream.dataCentre === dataCentre ? 0 : distanceCost(usualBytes)) +
    (COST.fullLoad * track.load(now)) / upstream.slots +
    COST.slowness * Math.max(0, track.slowness - 1) +
    (now < upstream.warmAt ? COST.cold : 0) +
    COST.overdue * track.overdue(now)
  );
};

const least = (tracks: readonly Track[], measure: (track: Track) => number): Track | undefined => {
  let best: Track | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  tracks.forEach((track) => {
    const value = measure(track);
    if (value >= lowest) return;
    best = track;
    lowest = value;
  });
  return best;
};

/** An upstream that no node has used, and that could have been. */
const newcomerOf = (tracks: readonly Track[], now: Instant): Track | undefined =>
  tracks.find(
    (track) =>
      track.lastSentAt === Number.NEGATIVE_INFINITY &&
      track.joinedAt !== undefined &&
      now - track.joinedAt >= NEWCOMER_AFTER &&
      now >= track.upstream.warmAt,
  );

/**
 * Where a request goes. Load pattern: three in ten upstreams fail most of their requests for some
 * seconds, so that work goes to the few that have just proven well and reaches others only when
 * these are full.
 */
export const choose = (
  tracks: readonly Track[],
  request: PlacementRequest,
  view: PlacementView,
): Placement => {
  const { now } = view;
  const ready = tracks.filter(
    ({ upstream }) => upstream.state === 'ready' && !request.tried.has(upstream.id),
  );
  if (ready.length === 0) return { kind: 'none' };
  const roomy = ready.filter((track) => !track.isAvoided(now) && hasRoom(track, now));
  if (roomy.length === 0) return { kind: 'full' };
  if (request.tried.size === 0 && view.isOwner) {
    const newcomer = newcomerOf(roomy, now);
    if (newcomer) return { kind: 'send', track: newcomer, why: 'newcomer' };
    if (view.spread) {
      const longest = least(roomy, (track) => track.lastSentAt);
      if (longest && now - longest.lastSentAt >= SPREAD_PERIOD) {
        return { kind: 'send', track: longest, why: 'spread' };
      }
    }
  }
  const best = least(roomy, (track) => costOf(track, request, view));
  if (!best) return { kind: 'full' };
  const why = failureChance(best.belief, now) <= PROVEN ? 'proven' : 'trial';
  return { kind: 'send', track: best, why };
};
