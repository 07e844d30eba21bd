import type { Instant, Millis, Upstream } from '../../src/model';

import { RandomSource } from './random-source';
import {
  FAULT_DURATION_MS,
  SERVICE_FLOOR_RATIO,
  TICK_INTERVAL_MS,
  DEFAULT_NOISE,
  type Deployment,
  type Fault,
  type Noise,
} from './conditions';
import { BaselineAdapter, ShardHealthDetector, type Detector } from './detectors';
import { Simulation } from './simulation';
import { MEAN_SERVICE_TIME_MS, UpstreamModel } from './upstream-model';

const WARM_UP_MS: Millis = 10_000;
const FAULTY_INDEX = 0;
const MILLIS_PER_DAY = 86_400_000;

/**
 * The detector that is measured: the gateway's own, or the baseline with or without sheds counted
 * as failures.
 */
export type DetectorVariant = 'own' | 'baseline' | 'baseline-no-sheds';

/** Result of one run with a faulty upstream; times are in milliseconds. */
export interface FaultRun {
  /**
   * Time from the start of the fault until the upstream gets only trials; the fault's duration if
   * it never does.
   */
  readonly detectionLatency: Millis;
  /** Whether the fault ended undetected. */
  readonly missed: boolean;
  /** Whether the upstream got only trials before the fault began; such runs are not counted. */
  readonly restrictedBeforeFault: boolean;
  /** Time from the start of the fault to the ejection; undefined if there was none. */
  readonly ejectionLatency: Millis | undefined;
  /**
   * Requests sent to the faulty upstream after detection over its fair share of them; 1 if
   * undetected.
   */
  readonly leakRatio: number;
  /** Ejections of healthy upstreams. */
  readonly wrongEjections: number;
}

/** Result of one run without faults. */
export interface NoiseRun {
  /** Simulated time summed over the upstreams, in days. */
  readonly upstreamDays: number;
  /** Ejections of healthy upstreams. */
  readonly wrongEjections: number;
  /** Share of a healthy upstream's time in which it was given less than all its slots, 0 to 1. */
  readonly restrictedTimeRatio: number;
}

const upstreamsOf = (deployment: Deployment, size: number): readonly Upstream[] =>
  Array.from({ length: size }, (_, index) => ({
    id: `u${index}`,
    service: 's',
    dataCentre: 'd',
    address: '127.0.0.1',
    port: 1 + index,
    slots: deployment.slots,
    connections: 350,
  }));

const detectorOf = (name: DetectorVariant, deployment: Deployment, size: number): Detector => {
  if (name !== 'own') return new BaselineAdapter(size, deployment.slots, 0, name === 'baseline');
  const rules = {
    name: 's',
    floor: SERVICE_FLOOR_RATIO,
    costRatio: deployment.costRatio,
    queuePerSlot: 4,
    retryRatio: 0.1,
  };
  return new ShardHealthDetector(upstreamsOf(deployment, size), rules, 0);
};

/** Mean time between arrivals that offers `load` times the shard's capacity. */
const meanArrivalInterval = (deployment: Deployment, size: number, load: number): Millis =>
  MEAN_SERVICE_TIME_MS / (deployment.slots * size * load);

/**
 * Runs a shard whose first upstream becomes faulty after a warm-up. With odd seeds the upstream's
 * health endpoint misleads: it reports no fault.
 */
export const runFault = (
  name: DetectorVariant,
  deployment: Deployment,
  size: number,
  fault: Fault,
  seed: number,
): FaultRun => {
  const random = new RandomSource(seed);
  const from = WARM_UP_MS + random.uniform() * 1_000;
  const models = Array.from({ length: size }, (_, index) => {
    const modelFault = index === FAULTY_INDEX ? { kind: fault, from } : undefined;
    const misleading = index === FAULTY_INDEX && seed % 2 === 1;
    return new UpstreamModel(
      index,
      size,
      deployment.slots,
      DEFAULT_NOISE,
      modelFault,
      misleading,
      random,
    );
  });
  const detector = detectorOf(name, deployment, size);
  let detectedAt: Instant | undefined;
  let restrictedBeforeFault = false;
  let hasFaultBegun = false;
  let ejectedAt: Instant | undefined;
  let wrongEjections = 0;
  let startedAfterDetection = 0;
  let leaked = 0;
  const simulation = new Simulation(
    models,
    deployment.slots,
    meanArrivalInterval(deployment, size, DEFAULT_NOISE.loadRatio),
    detector,
    random,
    {
      eventHandled: (now) => {
        if (now < from) return;
        if (!hasFaultBegun) restrictedBeforeFault = detector.getsOnlyTrials(FAULTY_INDEX);
        hasFaultBegun = true;
        if (detectedAt === undefined && detector.getsOnlyTrials(FAULTY_INDEX)) detectedAt = now;
      },
      upstreamEjected: (index, now) => {
        if (index === FAULTY_INDEX && now >= from) ejectedAt ??= now;
        if (models[index]?.isHealthy(now)) wrongEjections += 1;
      },
      attemptStarted: (index) => {
        if (detectedAt === undefined) return;
        startedAfterDetection += 1;
        if (index === FAULTY_INDEX) leaked += 1;
      },
    },
  );
  simulation.runUntil(from + FAULT_DURATION_MS - TICK_INTERVAL_MS);
  return {
    detectionLatency: detectedAt === undefined ? FAULT_DURATION_MS : detectedAt - from,
    missed: detectedAt === undefined,
    restrictedBeforeFault,
    ejectionLatency: ejectedAt === undefined ? undefined : ejectedAt - from,
    leakRatio: startedAfterDetection === 0 ? 1 : (leaked * size) / startedAfterDetection,
    wrongEjections,
  };
};

/** Runs a shard of healthy upstreams under a noise condition for `duration`. */
export const runNoise = (
  name: DetectorVariant,
  deployment: Deployment,
  size: number,
  noise: Noise,
  seed: number,
  duration: Millis,
): NoiseRun => {
  const random = new RandomSource(seed);
  const models = Array.from(
    { length: size },
    (_, index) => new UpstreamModel(index, size, deployment.slots, noise, undefined, false, random),
  );
  const detector = detectorOf(name, deployment, size);
  let wrongEjections = 0;
  let healthySamples = 0;
  let restrictedSamples = 0;
  let nextSampleAt = 0;
  const simulation = new Simulation(
    models,
    deployment.slots,
    meanArrivalInterval(deployment, size, noise.loadRatio),
    detector,
    random,
    {
      eventHandled: (now) => {
        if (now < nextSampleAt) return;
        nextSampleAt = now + TICK_INTERVAL_MS;
        models.forEach((model, index) => {
          if (!model.isHealthy(now)) return;
          healthySamples += 1;
          if (detector.slotShare(index) < 1) restrictedSamples += 1;
        });
      },
      upstreamEjected: (index, now) => {
        if (models[index]?.isHealthy(now)) wrongEjections += 1;
      },
      attemptStarted: () => {},
    },
  );
  simulation.runUntil(duration);
  const upstreamDays = (duration * size) / MILLIS_PER_DAY;
  return {
    upstreamDays,
    wrongEjections,
    restrictedTimeRatio: restrictedSamples / Math.max(1, healthySamples),
  };
};
