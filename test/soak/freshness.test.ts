import { expect } from 'earl';
import { describe, it } from 'node:test';

import { SimulatedFleet } from './freshness/simulated-fleet';

const SEED_COUNT = 1000;

describe('keys that are revoked while hosts are cut off, frozen or suspended', () => {
  it('run nothing after the bound, and connected hosts refuse nothing', async () => {
    const violations: string[] = [];
    let refused = 0;
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const verdict = await new SimulatedFleet(seed).run();
      violations.push(...verdict.violations.map((violation) => `seed ${seed}: ${violation}`));
      refused += verdict.counts.refused ?? 0;
    }
    expect(violations).toEqual([]);
    // Without refusals, the faults would have tested nothing.
    expect(refused >= SEED_COUNT).toEqual(true);
  });
});
