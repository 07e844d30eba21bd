/** Identity, clock, telemetry and randomness, which all parts of a node share. */
import { randomBytes, randomInt } from 'node:crypto';

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { createTelemetry, systemClock, type TelemetryRegistry } from '../adapters';
import type { NodeIdentity, Settings } from '../model';
import type { Clock } from '../ports';

const INCARNATION_BYTES = 12;
/** Upper bound of a generator's seed, exclusive. */
const MAX_SEED = 2 ** 31;
/** Number of different values that `random` can return. */
const RANDOM_RESOLUTION = 2 ** 32;

/** Holds what all parts of a node share. */
export interface NodeContext {
  readonly self: NodeIdentity;
  readonly clock: Clock;
  readonly telemetry: TelemetryRegistry;
  /** Returns a random number of at least 0 and less than 1. */
  random(): number;
}

/** Creates the context of a new incarnation of a node; `write` receives its log lines. */
export const createContext = (
  { dataCentre, listen }: Settings,
  write: (line: string) => void,
): NodeContext => ({
  self: {
    incarnation: randomBytes(INCARNATION_BYTES).toString('base64url'),
    dataCentre,
    address: listen.address,
    callerPort: listen.callerPort,
    peerPort: listen.peerPort,
  },
  clock: systemClock,
  telemetry: createTelemetry(write),
  random: () => randomInt(RANDOM_RESOLUTION) / RANDOM_RESOLUTION,
});

/** Creates a random generator with a new random seed. */
export const createRandomGenerator = (): RandomGenerator => xoroshiro128plus(randomInt(MAX_SEED));
