import { expect } from 'earl';
import { describe, it } from 'node:test';

import { TimeShare } from '../../../src/core/waiting';

describe('TimeShare', () => {
  const terms = { share: 0.1, burst: 20, maxCost: 50 };

  /** Runs pieces of `cost` as early as may be until `end`; returns the time that they took. */
  const workUntil = (time: TimeShare, start: number, end: number, cost: number): number => {
    let now = start;
    let total = 0;
    for (;;) {
      now = Math.max(now, time.dueAt);
      if (now >= end) return total;
      time.record(now, now + cost);
      now += cost;
      total += cost;
    }
  };

  it('lets work without end take its share and the burst', () => {
    const total = workUntil(new TimeShare(terms), 0, 10_000, 0.5);
    expect(total >= 1000).toEqual(true);
    expect(total <= 1000 + terms.burst + 1).toEqual(true);
  });

  it('lets work run at once up to the burst, and again after a rest', () => {
    const time = new TimeShare(terms);
    expect(workUntil(time, 0, 20, 0.5)).toBeGreaterThan(19);
    // A tenth of the 40 ms, and the piece that began in time.
    expect(workUntil(time, 20, 40, 0.5)).toBeLessThan(5);
    expect(workUntil(time, 5000, 5020, 0.5)).toBeGreaterThan(19);
  });

  it('counts no more than the longest cost of a piece in which the process was paused', () => {
    const time = new TimeShare(terms);
    time.record(0, 60_000);
    expect(time.dueAt).toEqual(50 / 0.1 - 20 / 0.1);
  });

  it('counts nothing for a piece that took no time', () => {
    const time = new TimeShare(terms);
    time.record(5, 5);
    expect(time.dueAt).toBeLessThan(5);
  });
});
