import type { Instant, Millis, Upstream } from '../../src/model';

import { RandomSource } from './random-source';
import {
  FAULT_DURATION,
  FLOOR,
  TICK,
  USUAL,
  type Deployment,
  type Fault,
  type Noise,
} from './conditions';
import { BaselineAdapter, OwnDetector, type Detector } from './detectors';
import { Simulation } from './simulation';
import { MEAN_SERVICE, UpstreamModel } from './upstream-model';

const WARM_UP: Millis = 10_000;
const SICK = 0;
const MILLIS_PER_DAY = 86_400_000;

/** Which detector is measured; the third baseline variant takes a shed for what it is. */
export type DetectorName = 'own' | 'baseline' | 'baseline-no-sheds';

/** What one run of a fault came to. */
export interface FaultRun {
  /** From the fault to no new work; the fault's duration when it never came to that. */
  readonly detection: Millis;
  readonly missed: boolean;
  /** Held for another reason when the fault began: not counted. */
  readonly alreadyHeld: boolean;
  /** From the fault to the ejection, if any. */
  readonly ejection: Millis | undefined;
  /** Work given to the sick upstream after detection over its fair share, 0 to 1. */
  readonly leak: number;
  readonly wrongEjections: number;
}

/** What one run of noise came to. */
export interface NoiseRun {
  readonly upstreamDays: number;
  readonly wrongEjections: number;
  /** Share of the time that an upstream which was well got less than its full share. */
  readonly heldBack: number;
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

const detectorOf = (name: DetectorName, deployment: Deployment, size: number): Detector => {
  if (name !== 'own') return new BaselineAdapter(size, deployment.slots, 0, name === 'baseline');
  const rules = {
    name: 's',
    floor: FLOOR,
    costRatio: deployment.costRatio,
    queuePerSlot: 4,
    retryRatio: 0.1,
  };
  return new OwnDetector(upstreamsOf(deployment, size), rules, 0);
};

const arrivalEvery = (deployment: Deployment, size: number, load: number): Millis =>
  MEAN_SERVICE / (deployment.slots * size * load);

/** One upstream falls sick after a warm-up; with odd seeds its health endpoint denies it. */
export const runFault = (
  name: DetectorName,
  deployment: Deployment,
  size: number,
  kind: Fault,
  seed: number,
): FaultRun => {
  const chance = new RandomSource(seed);
  const from = WARM_UP + chance.uniform() * 1_000;
  const models = Array.from({ length: size }, (_, index) => {
    const fault = index === SICK ? { kind, from } : undefined;
    const lies = index === SICK && seed % 2 === 1;
    return new UpstreamModel(index, size, deployment.slots, USUAL, fault, lies, chance);
  });
  const detector = detectorOf(name, deployment, size);
  let heldAt: Instant | undefined;
  let alreadyHeld = false;
  let checked = false;
  let ejectedAt: Instant | undefined;
  let wrongEjections = 0;
  let started = 0;
  let leaked = 0;
  const simulation = new Simulation(
    models,
    deployment.slots,
    arrivalEvery(deployment, size, USUAL.load),
    detector,
    chance,
    {
      looked: (now) => {
        if (now < from) return;
        if (!checked) alreadyHeld = detector.isHeld(SICK);
        checked = true;
        if (heldAt === undefined && detector.isHeld(SICK)) heldAt = now;
      },
      ejected: (index, now) => {
        if (index === SICK && now >= from) ejectedAt ??= now;
        if (models[index]?.isWell(now)) wrongEjections += 1;
      },
      started: (index) => {
        if (heldAt === undefined) return;
        started += 1;
        if (index === SICK) leaked += 1;
      },
    },
  );
  simulation.runUntil(from + FAULT_DURATION - TICK);
  return {
    detection: heldAt === undefined ? FAULT_DURATION : heldAt - from,
    missed: heldAt === undefined,
    alreadyHeld,
    ejection: ejectedAt === undefined ? undefined : ejectedAt - from,
    leak: started === 0 ? 1 : (leaked * size) / started,
    wrongEjections,
  };
};

/** All upstreams are well; noise goes on for `duration`. */
export const runNoise = (
  name: DetectorName,
  deployment: Deployment,
  size: number,
  noise: Noise,
  seed: number,
  duration: Millis,
): NoiseRun => {
  const chance = new RandomSource(seed);
  const models = Array.from(
    { length: size },
    (_, index) => new UpstreamModel(index, size, deployment.slots, noise, undefined, false, chance),
  );
  const detector = detectorOf(name, deployment, size);
  let wrongEjections = 0;
  let well = 0;
  let heldBack = 0;
  let lookAt = 0;
  const simulation = new Simulation(
    models,
    deployment.slots,
    arrivalEvery(deployment, size, noise.load),
    detector,
    chance,
    {
      looked: (now) => {
        if (now < lookAt) return;
        lookAt = now + TICK;
        models.forEach((model, index) => {
          if (!model.isWell(now)) return;
          well += 1;
          if (detector.share(index) < 1) heldBack += 1;
        });
      },
      ejected: (index, now) => {
        if (models[index]?.isWell(now)) wrongEjections += 1;
      },
      started: () => {},
    },
  );
  simulation.runUntil(duration);
  const upstreamDays = (duration * size) / MILLIS_PER_DAY;
  return { upstreamDays, wrongEjections, heldBack: heldBack / Math.max(1, well) };
};
