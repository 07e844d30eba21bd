import { expect } from 'earl';
import { describe, it } from 'node:test';

import { membershipSoak } from './membership.soak';

const MINUTES = 1;

describe('membership soak', () => {
  membershipSoak.ciSeeds.forEach((seed) => {
    it(`holds its invariants with seed ${seed}`, () => {
      expect(membershipSoak.run(seed, MINUTES).ok).toEqual(true);
    });
  });
});
