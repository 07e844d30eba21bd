import { expect } from 'earl';
import { describe, it } from 'node:test';

import { FaultWorld } from './gateways/world';

const MILLIS = 6000;

describe('gateways under faults from outside', () => {
  [2, 3, 4, 5].forEach((seed) =>
    it(`keep their promises with seed ${seed}`, async () => {
      const { breaches } = await FaultWorld.play(seed, MILLIS, false);
      expect(breaches).toEqual([]);
    }),
  );
});
