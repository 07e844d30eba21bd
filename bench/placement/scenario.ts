/** A load pattern of the placement bench. */
export interface Scenario {
  readonly name: string;
  readonly hosts: number;
  readonly upstreams: number;
  /** Ratio of the offered work to what the upstreams can do at their usual speed. */
  readonly utilisation: number;
  /** Ratios of the upstreams' times to usual ones, given in turn. */
  readonly speeds: readonly number[];
  /** Ratio of the time of a request that takes one of the last quarter of the slots. */
  readonly fullSlowdown: number;
  /** Ratio of the work of one in ten requests to that of the others. */
  readonly tail: number;
  /** Whether the path tells which requests these are. */
  readonly isTailPredictable: boolean;
  readonly reportsLoad: boolean;
  /** Ratio by which the estimate of one in ten requests is wrong, at random up or down; 1 if none. */
  readonly estimateError: number;
}

export const SLOT_COUNT = 4;
/** Work in milliseconds of a usual request. */
export const BASE_WORK_MS = 100;
export const TAIL_RATIO = 0.1;

const EQUAL = [1];
const UNEQUAL = [0.6, 0.8, 1, 1.3, 1.8];

export const meanWork = ({ tail }: Scenario): number =>
  BASE_WORK_MS * (1 - TAIL_RATIO + TAIL_RATIO * tail);

/** Time in milliseconds after which an answer is late. */
export const objectiveOf = ({ tail }: Scenario): number => BASE_WORK_MS + 1.5 * BASE_WORK_MS * tail;

/** Numbers of hosts and of upstreams that they share. */
const FLEETS: readonly (readonly [number, number])[] = [
  [1, 12],
  [3, 20],
  [20, 60],
  [300, 300],
];

const base: Omit<Scenario, 'hosts' | 'upstreams'> = {
  name: 'equal costs and speeds',
  utilisation: 0.8,
  speeds: EQUAL,
  fullSlowdown: 1,
  tail: 1,
  isTailPredictable: true,
  reportsLoad: true,
  estimateError: 1,
};

const PATTERNS: readonly Omit<Scenario, 'hosts' | 'upstreams'>[] = [
  base,
  { ...base, name: 'unequal speeds', speeds: UNEQUAL },
  { ...base, name: 'slow when nearly full', fullSlowdown: 1.6, utilisation: 0.6 },
  { ...base, name: 'tail of 3', tail: 3 },
  { ...base, name: 'tail of 7', tail: 7 },
  { ...base, name: 'tail of 20', tail: 20 },
  { ...base, name: 'tail of 20, not predictable', tail: 20, isTailPredictable: false },
  { ...base, name: 'tail of 7, no load headers', tail: 7, reportsLoad: false },
  { ...base, name: 'tail of 7, estimates 10 times wrong', tail: 7, estimateError: 10 },
  {
    ...base,
    name: 'tail of 7, unequal, slow when full',
    tail: 7,
    speeds: UNEQUAL,
    fullSlowdown: 1.6,
    utilisation: 0.6,
  },
];

export const SCENARIOS: readonly Scenario[] = PATTERNS.flatMap((pattern) =>
  FLEETS.map(([hosts, upstreams]) => ({ ...pattern, hosts, upstreams })),
);

/** Number of hosts from which runs are shorter and made with one seed only. */
export const LARGE_FLEET_HOSTS = 300;
