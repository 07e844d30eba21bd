// Measures how the costs of each role grow with the sizes that they depend on. Prints straight-line
// fits and writes JSON. Arguments select parts by name; the results of other parts are kept.
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';

import { configSlopes } from './slopes/config';
import { healthSlopes } from './slopes/health';
import { linkSlopes } from './slopes/links';
import { fitLine, type Fit, type Slope } from './slopes/measure';
import { membershipSlopes } from './slopes/membership';
import { onceSlopes } from './slopes/once';
import { ownershipSlopes } from './slopes/ownership';
import { routingSlopes } from './slopes/routing';
import { membershipFailureSlopes } from './slopes/membership-failures';

const RESULT_FILE = 'dist/bench/slopes.json';

/** Measurements by the name that selects them. */
const PARTS: Readonly<Record<string, () => readonly Slope[] | Promise<readonly Slope[]>>> = {
  routing: routingSlopes,
  ownership: ownershipSlopes,
  health: healthSlopes,
  once: onceSlopes,
  config: configSlopes,
  links: linkSlopes,
  membership: membershipSlopes,
  storms: membershipFailureSlopes,
};

const formatNumber = (value: number): string =>
  Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);

const printSlope = ({ role, what, unit, per, points }: Slope): void => {
  const { slope, intercept, residual } = fitLine(points);
  const values = points.map(([size, value]) => `${size}: ${formatNumber(value)}`).join(', ');
  console.log(`${role} | ${what}, ${unit} | by ${per} | ${values}`);
  console.log(
    `  = ${formatNumber(intercept)} + ${slope.toPrecision(3)} x; residual ${(residual * 100).toFixed(1)}%`,
  );
};

/** A slope as it is stored. */
interface FittedSlope extends Slope {
  readonly fit: Fit;
}

/** Reads the results of earlier runs, by part; empty if there are none. */
const earlierResults = (): Readonly<Record<string, readonly FittedSlope[]>> =>
  existsSync(RESULT_FILE) ? JSON.parse(readFileSync(RESULT_FILE, 'utf8')) : {};

const requestedParts = process.argv.slice(2);
const partNames = requestedParts.length > 0 ? requestedParts : Object.keys(PARTS);
const unknownPart = partNames.find((name) => !Object.hasOwn(PARTS, name));
if (unknownPart !== undefined) {
  console.error(`unknown part ${unknownPart}; expected any of: ${Object.keys(PARTS).join(' ')}`);
  process.exit(1);
}
mkdirSync('dist/bench', { recursive: true });
for (const name of partNames) {
  const slopes = (await PARTS[name]?.()) ?? [];
  slopes.forEach(printSlope);
  const fitted = slopes.map((slope) => ({ ...slope, fit: fitLine(slope.points) }));
  writeFileSync(RESULT_FILE, JSON.stringify({ ...earlierResults(), [name]: fitted }, null, 2));
}
console.log(`written to ${RESULT_FILE}`);
