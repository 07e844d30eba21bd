import type { Millis } from '../../src/model';

/** One deployment's settings, as its operators would publish them. */
export interface Deployment {
  readonly name: string;
  readonly slots: number;
  readonly costRatio: number;
  /** Upstreams in the shards measured. */
  readonly sizes: readonly number[];
  /** Seeds of each noise; a small deployment takes more to come to as many upstream-days. */
  readonly noiseSeeds: number;
}

export const DEPLOYMENTS: readonly Deployment[] = [
  { name: 'akwaaba', slots: 6, costRatio: 30, sizes: [5, 10, 20], noiseSeeds: 1 },
  { name: 'daegu', slots: 2, costRatio: 3, sizes: [5, 10, 20], noiseSeeds: 4 },
];

export const FLOOR = 0.7;

/** What one upstream of the shard suffers from. */
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

/** What healthy upstreams go through. */
export interface Noise {
  readonly name: string;
  /** Offered work over capacity. */
  readonly load: number;
  readonly pauses: boolean;
  readonly sheds: boolean;
  /** Each upstream in turn drains, restarts and comes back cold. */
  readonly drains: boolean;
  /** Each upstream in turn restarts without a drain. */
  readonly restarts: boolean;
  /** The health endpoint calls healthy upstreams sick. */
  readonly endpointLies: boolean;
  /** Spells in which callers' own requests make every upstream answer errors. */
  readonly errorBursts: boolean;
}

const QUIET: Noise = {
  name: 'quiet',
  load: 0.55,
  pauses: false,
  sheds: false,
  drains: false,
  restarts: false,
  endpointLies: false,
  errorBursts: false,
};

export const USUAL: Noise = { ...QUIET, name: 'usual' };

export const NOISES: readonly Noise[] = [
  QUIET,
  { ...QUIET, name: 'high-load', load: 0.92 },
  { ...QUIET, name: 'cold-start', restarts: true },
  { ...QUIET, name: 'nightly-drain', drains: true },
  { ...QUIET, name: 'shedding', load: 0.8, sheds: true },
  { ...QUIET, name: 'gc-pauses', pauses: true },
  { ...QUIET, name: 'lying-endpoint', load: 0.8, pauses: true, endpointLies: true },
  { ...QUIET, name: 'error-spells', errorBursts: true },
  { ...QUIET, name: 'all-at-once', load: 0.8, pauses: true, sheds: true, drains: true },
];

export const TICK: Millis = 50;
export const REQUEST_TIMEOUT: Millis = 2_000;
export const CONNECT: Millis = 1;
export const CONNECT_TIMEOUT: Millis = 250;
export const PROBE: Millis = 25;
export const FAULT_DURATION: Millis = 30_000;
