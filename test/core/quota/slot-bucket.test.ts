import { expect } from 'earl';
import * as fc from 'fast-check';
import { describe, it } from 'node:test';

import { SlotBucket } from '../../../src/core/quota';

const RATE = { interval: 10, capacity: 4 };

/** Returns the largest number of uses in any interval above what a bucket of this rate allows. */
const excessOf = (uses: readonly number[]): number => {
  const sorted = [...uses].sort((a, b) => a - b);
  let excess = Number.NEGATIVE_INFINITY;
  sorted.forEach((from, i) =>
    sorted.slice(i).forEach((to, count) => {
      excess = Math.max(excess, count + 1 - (RATE.capacity + (to - from) / RATE.interval));
    }),
  );
  return excess;
};

describe('the bucket of one partition', () => {
  it('grants no more than its burst and rate, whatever comes back unused', () => {
    const step = fc.record({
      wait: fc.integer({ min: 0, max: 60 }),
      count: fc.integer({ min: 0, max: 6 }),
      ahead: fc.integer({ min: 0, max: 50 }),
      /** Which of the grants that are held comes back unused; none if there are fewer. */
      returned: fc.integer({ min: 0, max: 5 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const bucket = new SlotBucket(RATE, 0);
        let now = 0;
        let held: { readonly slots: readonly number[]; readonly since: number }[] = [];
        steps.forEach(({ wait, count, ahead, returned }) => {
          now += wait;
          bucket.free(held[returned]?.slots ?? []);
          held = held.filter((_, i) => i !== returned);
          held.push({ slots: bucket.grant(count, now + ahead, now), since: now });
        });
        const uses = held.flatMap(({ slots, since }) => slots.map((slot) => Math.max(slot, since)));
        return excessOf(uses) <= 1e-9;
      }),
      { seed: 7, numRuns: 500 },
    );
  });

  it('keeps its tokens when the quota changes, and does not put off the next one', () => {
    const bucket = new SlotBucket({ interval: 15_000, capacity: 1 }, 8000);
    bucket.setRate({ interval: 10, capacity: 1 }, 0);
    expect(bucket.timeToNext(0)).toBeLessThanOrEqual(10);
    bucket.setRate({ interval: 15_000, capacity: 1 }, 6);
    expect(bucket.timeToNext(6)).toBeLessThanOrEqual(10);
  });
});
