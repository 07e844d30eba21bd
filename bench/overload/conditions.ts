import type { Millis } from '../../src/model';

/** Size of one service's shard; the names are those of deployments and their services. */
export interface ShardSize {
  readonly name: string;
  readonly upstreams: number;
  /** Requests that each upstream runs at once. */
  readonly slots: number;
}

export const SHARD_SIZES: readonly ShardSize[] = [
  { name: 'akwaaba bookings', upstreams: 20, slots: 6 },
  { name: 'akwaaba seat maps', upstreams: 5, slots: 6 },
  { name: 'daegu postings', upstreams: 20, slots: 2 },
  { name: 'daegu history', upstreams: 5, slots: 2 },
];

/** Load that one workspace offers. */
export interface WorkspaceLoad {
  readonly workspace: string;
  /** Offered calls over the shard's capacity. */
  readonly ratio: number;
}

/** Load on a shard, and failures of its upstreams. */
export interface Condition {
  readonly name: string;
  readonly loads: readonly WorkspaceLoad[];
  /** Share of attempts that end in an upstream error, 0 to 1. */
  readonly errorRatio: number;
  /** Share of attempts that the upstream sheds, 0 to 1. */
  readonly shedRatio: number;
}

const WORKSPACE_COUNT = 10;

/** Splits a load of `ratio` times the capacity evenly over the workspaces. */
const evenLoads = (ratio: number): readonly WorkspaceLoad[] =>
  Array.from({ length: WORKSPACE_COUNT }, (_, index) => ({
    workspace: `w${index}`,
    ratio: ratio / WORKSPACE_COUNT,
  }));

/** One workspace offers ten times its fair share; the others offer exactly theirs. */
const greedyLoads: readonly WorkspaceLoad[] = evenLoads(1).map((load, index) =>
  index === 0 ? { ...load, ratio: 10 * load.ratio } : load,
);

export const CONDITIONS: readonly Condition[] = [
  { name: '0.7x', loads: evenLoads(0.7), errorRatio: 0, shedRatio: 0 },
  { name: '2x', loads: evenLoads(2), errorRatio: 0, shedRatio: 0 },
  { name: '5x', loads: evenLoads(5), errorRatio: 0, shedRatio: 0 },
  { name: '2x failing', loads: evenLoads(2), errorRatio: 0.05, shedRatio: 0.05 },
  { name: '5x failing', loads: evenLoads(5), errorRatio: 0.05, shedRatio: 0.05 },
  { name: 'one greedy', loads: greedyLoads, errorRatio: 0, shedRatio: 0 },
];

/**
 * Mean service time without the tail; service times are uniform from half of it to 1.5 times it.
 */
export const BASE_SERVICE_TIME_MS: Millis = 50;
/** Share of calls whose service time is `TAIL_SERVICE_TIME_FACTOR` times as long. */
export const TAIL_CALL_RATIO = 0.01;
export const TAIL_SERVICE_TIME_FACTOR = 10;

/** Shortest time that a caller allows for a call; the times are uniform up to the longest. */
export const MIN_CALL_TIMEOUT_MS: Millis = 300;
export const MAX_CALL_TIMEOUT_MS: Millis = 1500;

/** Share of calls that may be retried after an upstream error. */
export const RETRYABLE_CALL_RATIO = 0.7;

/** Interval at which the shard's owner ticks its admission. */
export const TICK_INTERVAL_MS: Millis = 50;

/** Time within which 99% of the refusals have to be answered. */
export const MAX_REFUSAL_P99_MS: Millis = 50;
