import { expect } from 'earl';
import { describe, it } from 'node:test';

import { UnservedShare } from '../../../src/core/placement';

/**
 * Sends a host `perSecond` requests at even intervals, of which one in `interval` goes unserved, from
 * `from` until the share is high; returns that time, or `until`.
 */
const highAt = (
  share: UnservedShare,
  perSecond: number,
  interval: number,
  from: number,
  until: number,
): number => {
  for (let i = 1; ; i++) {
    const now = from + (i * 1000) / perSecond;
    if (now >= until) return until;
    share.record(i % interval !== 0, now);
    if (share.isHigh(now)) return now;
  }
};

describe('the share of unserved requests', () => {
  [5, 30, 300].forEach((perSecond) => {
    it(`is not high while one request in 33 fails, ${perSecond} a second`, () => {
      expect(highAt(new UnservedShare(), perSecond, 33, 0, 60_000)).toEqual(60_000);
    });

    it(`is high within a second after half of the requests are rejected, ${perSecond} a second`, () => {
      const share = new UnservedShare();
      highAt(share, perSecond, 33, 0, 20_000);
      expect(highAt(share, perSecond, 2, 20_000, 30_000)).toBeLessThanOrEqual(21_000);
    });

    it(`is no longer high a few seconds after all are served again, ${perSecond} a second`, () => {
      const share = new UnservedShare();
      highAt(share, perSecond, 2, 0, 10_000);
      expect(share.isHigh(20_000)).toEqual(false);
    });
  });
});
