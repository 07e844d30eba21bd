import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { IdleConnectionLimit } from '../../../src/core/gateway';

describe('trust in idle connections', () => {
  it('is two seconds for what can’t be repeated, and no matter for the rest', () => {
    const trust = new IdleConnectionLimit();
    expect([trust.maxIdle(false, 0), trust.maxIdle(true, 0)]).toEqual([2000, Infinity]);
  });

  it('shrinks to half of what a reset one was idle for, and grows back', () => {
    const trust = new IdleConnectionLimit();
    trust.recordReset(800, 1000);
    expect([trust.maxIdle(false, 2000), trust.maxIdle(true, 2000)]).toEqual([400, 400]);
    trust.recordReset(1600, 2000);
    expect(trust.maxIdle(false, 3000)).toEqual(400);
    expect([trust.maxIdle(false, 10_000), trust.maxIdle(true, 10_000)]).toEqual([2000, Infinity]);
  });

  /** 30 requests a second that can't be repeated over 40 upstreams; half drop idle connections. */
  const play = (seed: number): { readonly lost: number; readonly connects: number } => {
    const rng = xoroshiro128plus(seed);
    const trust = new IdleConnectionLimit();
    const idleSince = new Map<number, number>();
    let lost = 0;
    let connects = 0;
    for (let n = 0; n < 180; n++) {
      const now = (n * 1000) / 30;
      const upstream = Math.floor(uniformFloat64(rng) * 40);
      const idle = now - (idleSince.get(upstream) ?? Number.NEGATIVE_INFINITY);
      const isUsed = idle < trust.maxIdle(false, now);
      const drops = upstream % 2 === 0 && idle > 320;
      idleSince.set(upstream, now);
      if (!isUsed) connects += 1;
      else if (drops) {
        lost += 1;
        trust.recordReset(idle, now);
        idleSince.delete(upstream);
      }
    }
    return { lost, connects };
  };

  [1, 2, 3].forEach((seed) => {
    it(`loses few requests to upstreams that drop idle connections early, seed ${seed}`, () => {
      const { lost } = play(seed);
      // One that teaches, and one for each time that the trust has to shrink further.
      expect(lost <= 4).toEqual(true);
    });
  });
});
