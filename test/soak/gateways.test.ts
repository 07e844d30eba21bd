import { expect } from 'earl';
import { describe, it } from 'node:test';

import { FaultedFleet } from './gateways/faulted-fleet';

const MILLIS = 6000;

describe('gateway processes under injected faults', () => {
  [2, 3, 4, 5].forEach((seed) =>
    it(`violate no invariant with seed ${seed}`, async () => {
      const { violations } = await FaultedFleet.runSeed(seed, MILLIS);
      // As texts, which a failure prints whole.
      expect(violations.map(({ promise, detail }) => `${promise}: ${detail}`)).toEqual([]);
    }),
  );
});
