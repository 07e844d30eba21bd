import type { Instant, Millis } from '../../model';
import type { CostEstimate } from '../cost';

import { expectedWork } from './completion-time';
import type { PlacementContext, PlacementRequest } from './placement';
import type { UpstreamStats } from './upstream-stats';

/** Cost weights in units of failure probability, so that they can be added to one. */
const COST_WEIGHTS = {
  /**
   * Cost of an upstream in another data centre, since links between data centres fail more often.
   */
  otherDataCentre: 0.004,
  /**
   * Cost of each kilobyte (1024 bytes) of a request's or an answer's body that crosses to or from
   * another data centre, since that traffic is paid for.
   */
  otherDataCentrePerKilobyte: 0.005,
  /**
   * Upper bound of the cost of bytes between data centres; a faulty local upstream costs more. It is
   * scaled by `retryableFailureFactor` like the cost of a failure, as the cost of a fault that can
   * be retried is otherwise below this bound.
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
  /** Upper bound of the advantage of an upstream that is faster than usual. */
  fasterMax: 0.05,
  /** Ratio of the cost of a failure that can be retried to the cost of one that can't. */
  retryableFailureFactor: 0.35,
  /** Cost of each multiple of the mean latency beyond the first. */
  excessLatency: 0.08,
  /** Cost of an upstream that has just started and is still warming up. */
  warmingUp: 0.05,
  /** Cost of each overdue request at the upstream. */
  overdueRequest: 0.25,
} as const;

/** The state of the node and the service that the cost of an upstream depends on. */
export interface CostContext extends Pick<
  PlacementContext,
  'now' | 'dataCentre' | 'costs' | 'disabled'
> {
  /** Whether an upstream of another data centre that may be chosen has a free slot. */
  readonly hasFreeSlotElsewhere: boolean;
}

const BYTES_PER_KB = 1024;
/**
 * Failure probability that lower ones are raised to. An upstream that answered within the last
 * three seconds then costs as much as one that has just answered, so that load decides between
 * them.
 */
const MIN_FAILURE_PROBABILITY = 0.08;
/**
 * Maximum size in bytes of the request bodies that this host has in flight at one upstream: four of
 * the largest that configurations allow by default. Load pattern: callers send the largest bodies
 * to all slots of an upstream and its queue at once.
 */
const MAX_BODY_BYTES_IN_FLIGHT = 4 * 2 ** 20;
/** Pending work, as a multiple of what fills all slots, beyond which more makes no difference. */
const MAX_WORK_LOAD = 2;
/** Ratio of the time to the deadline that a request may spend queued at an upstream. */
const MAX_QUEUE_TIME_RATIO = 0.4;
/** Returns the time in milliseconds that a request would wait for a slot at an upstream. */
const queueTime = (load: number, slots: number, meanLatency: Millis): Millis =>
  (Math.max(0, load + 1 - slots) / slots) * meanLatency;

/** Returns whether one of the upstream's slots is free. */
export const hasFreeSlot = (
  stats: UpstreamStats,
  { meanLatency }: PlacementRequest,
  now: Instant,
): boolean => stats.load(now, meanLatency) < stats.upstream.slots;

/** Returns whether the upstream has room for the request's body; one alone may be of any size. */
const hasRoomForBody = (stats: UpstreamStats, { bodyBytes = 0 }: PlacementRequest): boolean => {
  if (bodyBytes === 0) return true;
  const inFlight = stats.bodyBytesInFlight;
  return inFlight === 0 || inFlight + bodyBytes <= MAX_BODY_BYTES_IN_FLIGHT;
};

/** Returns whether the upstream has a free slot, or room to queue for one in time. */
export const hasCapacity = (
  stats: UpstreamStats,
  request: PlacementRequest,
  now: Instant,
): boolean => {
  if (!hasRoomForBody(stats, request)) return false;
  const { slots } = stats.upstream;
  const load = stats.load(now, request.meanLatency);
  const wait = queueTime(load, slots, request.meanLatency);
  return (
    load < slots + stats.queueLimit.limit(now) && wait <= MAX_QUEUE_TIME_RATIO * request.remaining
  );
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

const failureFactor = ({ retryable }: PlacementRequest): number =>
  retryable ? COST_WEIGHTS.retryableFailureFactor : 1;

const transferCost = (request: PlacementRequest): number =>
  Math.min(
    COST_WEIGHTS.otherDataCentreBytesMax * failureFactor(request),
    (COST_WEIGHTS.otherDataCentrePerKilobyte * request.meanBytes) / BYTES_PER_KB,
  );

/**
 * Returns the cost of the upstream's place. A full upstream of the own data centre bears the cost of
 * the transfer as well while another data centre has a free slot, so that saving the transfer never
 * makes a request queue.
 */
const placeCost = (
  isLocal: boolean,
  isFull: boolean,
  request: PlacementRequest,
  { hasFreeSlotElsewhere, disabled }: CostContext,
): number => {
  if (disabled.has('transfer-cost')) return 0;
  if (!isLocal) return COST_WEIGHTS.otherDataCentre + transferCost(request);
  return isFull && hasFreeSlotElsewhere ? transferCost(request) : 0;
};

/**
 * Returns the cost of the time until a request ends, from what is learned of costs. Every term is
 * bounded, so that estimates wrong by a factor of ten never outweigh a fault.
 */
const completionCost = (
  stats: UpstreamStats,
  cost: CostEstimate,
  { objective }: PlacementRequest,
  { now, costs }: CostContext,
): number => {
  const { slots } = stats.upstream;
  const usualMs = costs.usual.expectedMs;
  const load = stats.expectedLoad(now, usualMs);
  const { pending, wait, run } = expectedWork(stats, cost, costs, load, now);
  const spare = Math.max(cost.expectedMs / 2, objective - cost.expectedMs);
  const delay = COST_WEIGHTS.queueDelay * Math.min(1, (wait + run - cost.expectedMs) / spare);
  // Requests in flight have half of their work left on average.
  const workLoad = Math.min(MAX_WORK_LOAD, (2 * pending) / (slots * usualMs));
  return (
    Math.max(-COST_WEIGHTS.fasterMax, delay) +
    (COST_WEIGHTS.fullLoad * (load / slots + workLoad)) / 2
  );
};

/** Returns the cost of an upstream's load and speed, in units of failure probability. */
const loadCost = (
  stats: UpstreamStats,
  load: number,
  request: PlacementRequest,
  context: CostContext,
): number => {
  const { slots } = stats.upstream;
  if (context.disabled.has('load-placement')) return 0;
  if (request.cost) return completionCost(stats, request.cost, request, context);
  return (
    queueDelayCost(load, slots, request) +
    (COST_WEIGHTS.fullLoad * load) / slots +
    COST_WEIGHTS.excessLatency * Math.max(0, stats.latencyRatio - 1)
  );
};

/** Returns the cost of sending a request to an upstream now, in units of failure probability. */
export const expectedCost = (
  stats: UpstreamStats,
  request: PlacementRequest,
  context: CostContext,
): number => {
  const { now, dataCentre } = context;
  const { upstream } = stats;
  const load = stats.load(now, request.meanLatency);
  const failure = Math.max(MIN_FAILURE_PROBABILITY, stats.failureProbability(now));
  return (
    failure * failureFactor(request) +
    loadCost(stats, load, request, context) +
    placeCost(upstream.dataCentre === dataCentre, load >= upstream.slots, request, context) +
    (now < upstream.warmedUpAt ? COST_WEIGHTS.warmingUp : 0) +
    COST_WEIGHTS.overdueRequest * stats.overdueCount(now)
  );
};
