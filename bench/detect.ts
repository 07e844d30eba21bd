// Measures detection latency and wrong ejections of the gateway's detector and of a baseline.
// Prints Markdown tables and writes JSON under dist/bench.
// Options: --quick, --only=PART_OF_A_FAULT_OR_NOISE_NAME, --deployment=NAME.
import { mkdirSync, writeFileSync } from 'node:fs';

import {
  DEPLOYMENTS,
  FAULTS,
  NOISES,
  type Deployment,
  type Fault,
  type Noise,
} from './detect/conditions';
import { runFault, runNoise, type DetectorVariant, type FaultRun } from './detect/detection-runs';
import { printReport, type FaultRow, type NoiseRow } from './detect/report';

const QUICK = process.argv.includes('--quick');
const FAULT_SEED_COUNT = QUICK ? 6 : 20;
const NOISE_DURATION_MS = QUICK ? 120_000 : 600_000;

/** Returns the value of `--name=value` on the command line, if given. */
const option = (name: string): string | undefined =>
  process.argv.find((arg) => arg.startsWith(`--${name}=`))?.slice(name.length + 3);

/** Returns `count` successive seeds. */
const seedsFrom = (first: number, count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => first + index);

const quantile = (sorted: readonly number[], q: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? NaN;

const summarizeFaultRuns = (runs: readonly FaultRun[]): FaultRow['own'] => {
  const countedRuns = runs.filter(({ restrictedBeforeFault }) => !restrictedBeforeFault);
  const detections = countedRuns
    .map(({ detectionLatency }) => detectionLatency)
    .sort((a, b) => a - b);
  const ejections = countedRuns
    .map(({ ejectionLatency }) => ejectionLatency ?? Infinity)
    .sort((a, b) => a - b);
  return {
    runs: countedRuns.length,
    p50: quantile(detections, 0.5),
    p99: quantile(detections, 0.99),
    ejectionP50: quantile(ejections, 0.5),
    missed: countedRuns.filter(({ missed }) => missed).length,
    leak: countedRuns.reduce((sum, { leakRatio }) => sum + leakRatio, 0) / countedRuns.length,
    wrongEjections: runs.reduce((sum, { wrongEjections }) => sum + wrongEjections, 0),
  };
};

const faultRow = (deployment: Deployment, fault: Fault): FaultRow => {
  const runs = (name: DetectorVariant): readonly FaultRun[] =>
    deployment.shardSizes.flatMap((size) =>
      seedsFrom(1, FAULT_SEED_COUNT).map((seed) => runFault(name, deployment, size, fault, seed)),
    );
  return {
    deployment: deployment.name,
    fault,
    own: summarizeFaultRuns(runs('own')),
    baseline: summarizeFaultRuns(runs('baseline')),
  };
};

const noiseRow = (deployment: Deployment, noise: Noise): NoiseRow => {
  const summarizeNoiseRuns = (name: DetectorVariant): NoiseRow['own'] => {
    const runs = deployment.shardSizes.flatMap((size) =>
      seedsFrom(1001, QUICK ? 1 : deployment.noiseSeedCount).map((seed) =>
        runNoise(name, deployment, size, noise, seed, NOISE_DURATION_MS),
      ),
    );
    const upstreamDays = runs.reduce((sum, run) => sum + run.upstreamDays, 0);
    const wrongEjections = runs.reduce((sum, run) => sum + run.wrongEjections, 0);
    const heldBack = runs.reduce((sum, run) => sum + run.restrictedTimeRatio, 0) / runs.length;
    return { upstreamDays, wrongEjections, perDay: wrongEjections / upstreamDays, heldBack };
  };
  return {
    deployment: deployment.name,
    noise: noise.name,
    own: summarizeNoiseRuns('own'),
    baseline: summarizeNoiseRuns('baseline'),
    noSheds: summarizeNoiseRuns('baseline-no-sheds'),
  };
};

const main = (): void => {
  const only = option('only');
  const deploymentName = option('deployment');
  const isSelected = (name: string): boolean => only === undefined || name.includes(only);
  const started = Date.now();
  const deployments = DEPLOYMENTS.filter(
    ({ name }) => deploymentName === undefined || name === deploymentName,
  );
  const faults = deployments.flatMap((deployment) =>
    FAULTS.filter(isSelected).map((fault) => faultRow(deployment, fault)),
  );
  const noises = deployments.flatMap((deployment) =>
    NOISES.filter(({ name }) => isSelected(name)).map((noise) => noiseRow(deployment, noise)),
  );
  printReport(faults, noises);
  mkdirSync('dist/bench', { recursive: true });
  const part = [QUICK ? 'quick' : undefined, deploymentName, only].filter(
    (name) => name !== undefined,
  );
  const file = ['dist/bench/detect', ...part].join('-').concat('.json');
  writeFileSync(file, JSON.stringify({ faults, noises }, null, 2));
  console.log(`\n${file} written after ${Math.round((Date.now() - started) / 1000)} s`);
};

main();
