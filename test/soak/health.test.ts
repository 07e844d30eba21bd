import { expect } from 'earl';
import { describe, it } from 'node:test';

import { healthSoak } from './health.soak';

const CI_MINUTES = 1;

describe('health soak', () => {
  healthSoak.ciSeeds.forEach((seed) => {
    it(`keeps the floor, readmits recovered upstreams and lengthens hold-downs with seed ${seed}`, () => {
      const verdict = healthSoak.run(seed, CI_MINUTES);
      expect(verdict.ok ? '' : verdict.detail).toEqual('');
    });
  });
});
