import type { Instant, Millis } from '../../model';

import {
  INITIAL_FAULT_RATES,
  PRIOR_BELIEF,
  type EvidenceKind,
  type FaultBelief,
  type FaultRates,
} from './fault-model';

/** Time constant in milliseconds of the exponential decay of what was observed. */
const MEMORY_MS: Millis = 60_000;
/** Longest time in milliseconds between two pieces of evidence that counts as observed. */
const MAX_OBSERVED_INTERVAL_MS: Millis = 20_000;
/** Observed time of upstreams, in milliseconds, that the initial rates count as. */
const PRIOR_TIME_MS: Millis = 100_000;
/** Number of requests to faulty and to healthy upstreams that the initial rates count as. */
const PRIOR_FAULTY_COUNT = 20;
const PRIOR_HEALTHY_COUNT = 300;

/** Fault probability from which an upstream counts as having become faulty, and healthy again. */
const BECOMES_FAULTY_PROBABILITY = 0.8;
const BECOMES_HEALTHY_PROBABILITY = 0.05;

/** Bounds of the learned rates, so that a few seconds of unusual evidence never fix a belief. */
const RATE_BOUNDS = {
  faultyShare: [0.02, 0.6],
  decayTime: [2000, 120_000],
  faultyFailureRate: [0.3, 0.98],
  healthyFailureRate: [0.003, 0.1],
} as const;

const within = (value: number, [lowest, highest]: readonly [number, number]): number =>
  Math.min(highest, Math.max(lowest, value));

/** Ratio of changes of state to time of an upstream with these rates: the chance of each is even. */
const changesPerMs = ({ faultyShare, decayTime }: FaultRates): number =>
  (2 * faultyShare * (1 - faultyShare)) / decayTime;

/** What has been observed, starting from what the initial rates count as. */
interface Observed {
  /** Milliseconds of upstreams, and those of faulty ones among them. */
  time: number;
  faultyTime: number;
  changes: number;
  /** Requests to faulty and to healthy upstreams, and the failed ones among them. */
  faulty: number;
  faultyFailed: number;
  healthy: number;
  healthyFailed: number;
}

const { faultyShare, faultyFailureRate, healthyFailureRate } = INITIAL_FAULT_RATES;
const PRIOR: Readonly<Observed> = {
  time: PRIOR_TIME_MS,
  faultyTime: PRIOR_TIME_MS * faultyShare,
  changes: PRIOR_TIME_MS * changesPerMs(INITIAL_FAULT_RATES),
  faulty: PRIOR_FAULTY_COUNT,
  faultyFailed: PRIOR_FAULTY_COUNT * faultyFailureRate,
  healthy: PRIOR_HEALTHY_COUNT,
  healthyFailed: PRIOR_HEALTHY_COUNT * healthyFailureRate,
};

const NOTHING_OBSERVED: Readonly<Observed> = {
  time: 0,
  faultyTime: 0,
  changes: 0,
  faulty: 0,
  faultyFailed: 0,
  healthy: 0,
  healthyFailed: 0,
};

/** The state that an upstream was last taken to be in. */
export type ObservedState = 'unknown' | 'healthy' | 'faulty';

/** Returns the state after new evidence; between the two bounds it stays as it was. */
const nextState = (state: ObservedState, faultProbability: number): ObservedState => {
  if (faultProbability >= BECOMES_FAULTY_PROBABILITY) return 'faulty';
  return faultProbability <= BECOMES_HEALTHY_PROBABILITY ? 'healthy' : state;
};

/** The beliefs about an upstream before and after a piece of evidence. */
export interface BeliefChange {
  readonly before: FaultBelief;
  readonly after: FaultBelief;
  /** The state that the evidence before it showed. */
  readonly state: ObservedState;
}

/**
 * Learns how often and for how long the upstreams of a service are faulty, and how many requests
 * they fail, from the beliefs that evidence leads to. Load pattern: upstreams of one service are
 * faulty for a few seconds and often, those of another rarely and for a minute; rates that are fixed
 * try the former too late and the latter too soon.
 */
export class LearnedFaultRates {
  private observed: Observed = { ...NOTHING_OBSERVED };

  private observedAt: Instant = 0;

  private learned = INITIAL_FAULT_RATES;

  /** Without `learns`, the initial rates hold. */
  constructor(private readonly learns = true) {}

  /** The rates as learned so far. */
  get current(): FaultRates {
    return this.learned;
  }

  /** Takes in what a piece of evidence changed; returns the state of the upstream after it. */
  record(evidence: EvidenceKind, { before, after, state }: BeliefChange): ObservedState {
    if (!this.learns) return state;
    this.decay(after.at);
    const { observed } = this;
    const { faultProbability } = after;
    if (before !== PRIOR_BELIEF) {
      const elapsed = Math.min(MAX_OBSERVED_INTERVAL_MS, Math.max(0, after.at - before.at));
      observed.time += elapsed;
      observed.faultyTime += (elapsed * (before.faultProbability + faultProbability)) / 2;
    }
    const next = nextState(state, faultProbability);
    if (state !== 'unknown' && next !== state) observed.changes += 1;
    if (evidence !== 'slow') {
      const failed = evidence === 'good' ? 0 : 1;
      observed.faulty += faultProbability;
      observed.faultyFailed += faultProbability * failed;
      observed.healthy += 1 - faultProbability;
      observed.healthyFailed += (1 - faultProbability) * failed;
    }
    this.learned = this.rates();
    return next;
  }

  private rates(): FaultRates {
    const sum = (key: keyof Observed): number => PRIOR[key] + this.observed[key];
    const share = within(sum('faultyTime') / sum('time'), RATE_BOUNDS.faultyShare);
    const decayTime = (2 * share * (1 - share) * sum('time')) / sum('changes');
    return {
      faultyShare: share,
      decayTime: within(decayTime, RATE_BOUNDS.decayTime),
      faultyFailureRate: within(sum('faultyFailed') / sum('faulty'), RATE_BOUNDS.faultyFailureRate),
      healthyFailureRate: within(
        sum('healthyFailed') / sum('healthy'),
        RATE_BOUNDS.healthyFailureRate,
      ),
    };
  }

  private decay(now: Instant): void {
    const factor = Math.exp(-Math.max(0, now - this.observedAt) / MEMORY_MS);
    this.observedAt = Math.max(this.observedAt, now);
    const { observed } = this;
    (Object.keys(observed) as (keyof Observed)[]).forEach((key) => {
      observed[key] *= factor;
    });
  }
}
