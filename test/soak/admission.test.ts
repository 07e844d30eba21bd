import { expect } from 'earl';
import { describe, it } from 'node:test';

import { admissionSoak } from './admission.soak';

const MINUTES = 0.25;

describe('admission soak', () => {
  admissionSoak.ciSeeds.forEach((seed) => {
    it(`holds its invariants with seed ${seed}`, () => {
      const { ok, detail } = admissionSoak.run(seed, MINUTES);
      expect(ok ? '' : detail).toEqual('');
    });
  });
});
