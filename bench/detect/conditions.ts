import type { Millis } from '../../src/model';

/** Settings of one deployment, as its operators would publish them. */
export interface Deployment {
  readonly name: string;
  /** Requests that each upstream runs at once. */
  readonly slots: number;
  /** Cost of detecting a failed upstream late over the cost of ejecting a healthy one. */
  readonly costRatio: number;
  /** Upstream counts of the shards that are measured. */
  readonly shardSizes: readonly number[];
  /**
   * Seeds of each noise condition; a small deployment needs more runs for as many upstream-days.
   */
  readonly noiseSeedCount: number;
}

export const DEPLOYMENTS: readonly Deployment[] = [
  { name: 'akwaaba', slots: 6, costRatio: 30, shardSizes: [5, 10, 20], noiseSeedCount: 1 },
  { name: 'daegu', slots: 2, costRatio: 3, shardSizes: [5, 10, 20], noiseSeedCount: 4 },
];

/** Share of a service's slots that ejection leaves in service. */
export const SERVICE_FLOOR_RATIO = 0.7;

/**
 * A fault of one upstream: requests take 5 or 20 times as long; half of the answers are
 * mismatched or truncated; 30% are errors; phases of errors alternate with healthy ones; the
 * gateway's data centre cannot connect while others can; or no request is ever answered.
 */
export type Fault =
  | 'slow-x5'
  | 'slow-x20'
  | 'wrong-half'
  | 'truncating-half'
  | 'errors-30'
  | 'flapping'
  | 'unreachable-one-way'
  | 'hang';

export const FAULTS: readonly Fault[] = [
  'slow-x5',
  'slow-x20',
  'wrong-half',
  'truncating-half',
  'errors-30',
  'flapping',
  'unreachable-one-way',
  'hang',
];

/** A condition of healthy upstreams that a detector could mistake for a fault. */
export interface Noise {
  readonly name: string;
  /** Offered load over the shard's capacity. */
  readonly loadRatio: number;
  /** Whether upstreams stall for garbage collection now and then. */
  readonly gcPauses: boolean;
  /** Whether each upstream refuses part of its requests as busy in periodic bursts. */
  readonly sheds: boolean;
  /** Whether each upstream in turn drains, restarts and comes back cold. */
  readonly drains: boolean;
  /** Whether each upstream in turn restarts without a drain and comes back cold. */
  readonly restarts: boolean;
  /** Whether the health endpoint reports healthy upstreams as unhealthy. */
  readonly misleadingHealthEndpoint: boolean;
  /** Whether bursts of faulty caller requests make every upstream answer errors. */
  readonly errorBursts: boolean;
}

const QUIET_NOISE: Noise = {
  name: 'quiet',
  loadRatio: 0.55,
  gcPauses: false,
  sheds: false,
  drains: false,
  restarts: false,
  misleadingHealthEndpoint: false,
  errorBursts: false,
};

/** The noise condition under which faults are measured. */
export const DEFAULT_NOISE: Noise = { ...QUIET_NOISE, name: 'usual' };

export const NOISES: readonly Noise[] = [
  QUIET_NOISE,
  { ...QUIET_NOISE, name: 'high-load', loadRatio: 0.92 },
  { ...QUIET_NOISE, name: 'cold-start', restarts: true },
  { ...QUIET_NOISE, name: 'nightly-drain', drains: true },
  { ...QUIET_NOISE, name: 'shedding', loadRatio: 0.8, sheds: true },
  { ...QUIET_NOISE, name: 'gc-pauses', gcPauses: true },
  {
    ...QUIET_NOISE,
    name: 'lying-endpoint',
    loadRatio: 0.8,
    gcPauses: true,
    misleadingHealthEndpoint: true,
  },
  { ...QUIET_NOISE, name: 'error-spells', errorBursts: true },
  {
    ...QUIET_NOISE,
    name: 'all-at-once',
    loadRatio: 0.8,
    gcPauses: true,
    sheds: true,
    drains: true,
  },
];

export const TICK_INTERVAL_MS: Millis = 50;
export const REQUEST_TIMEOUT_MS: Millis = 2_000;
export const CONNECT_TIME_MS: Millis = 1;
export const CONNECT_TIMEOUT_MS: Millis = 250;
export const MEDIAN_PROBE_TIME_MS: Millis = 25;
export const FAULT_DURATION_MS: Millis = 30_000;
