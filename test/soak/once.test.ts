import { expect } from 'earl';
import { describe, it } from 'node:test';

import { onceSoak } from './once.soak';

const MINUTES = 2;

describe('at-most-once soak', () => {
  onceSoak.ciSeeds.forEach((seed) => {
    it(`runs each key at most once and answers truthfully with seed ${seed}`, () => {
      const { ok, detail } = onceSoak.run(seed, MINUTES);
      expect(ok ? '' : detail).toEqual('');
    });
  });
});
