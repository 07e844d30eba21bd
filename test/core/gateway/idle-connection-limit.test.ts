import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { IdleConnectionLimit } from '../../../src/core/gateway';

describe('the limit on idle connections', () => {
  it('is two seconds for requests that can’t be retried, and infinite for others', () => {
    const limit = new IdleConnectionLimit();
    expect([limit.maxIdle(false, 0), limit.maxIdle(true, 0)]).toEqual([2000, Infinity]);
  });

  it('falls to half the idle time of a reset connection, and recovers', () => {
    const limit = new IdleConnectionLimit();
    limit.recordReset(800, 1000);
    expect([limit.maxIdle(false, 2000), limit.maxIdle(true, 2000)]).toEqual([400, 400]);
    limit.recordReset(1600, 2000);
    expect(limit.maxIdle(false, 3000)).toEqual(400);
    expect([limit.maxIdle(false, 10_000), limit.maxIdle(true, 10_000)]).toEqual([2000, Infinity]);
  });

  /**
   * Guards against losing many requests to stale connections. It simulates 30 non-retryable
   * requests per second at 40 upstreams; half of these drop connections that were idle for more
   * than 320 ms.
   */
  const simulate = (seed: number): { readonly lost: number; readonly connects: number } => {
    const rng = xoroshiro128plus(seed);
    const limit = new IdleConnectionLimit();
    const idleSince = new Map<number, number>();
    let lost = 0;
    let connects = 0;
    for (let n = 0; n < 180; n++) {
      const now = (n * 1000) / 30;
      const upstream = Math.floor(uniformFloat64(rng) * 40);
      const idle = now - (idleSince.get(upstream) ?? Number.NEGATIVE_INFINITY);
      const isReused = idle < limit.maxIdle(false, now);
      const drops = upstream % 2 === 0 && idle > 320;
      idleSince.set(upstream, now);
      if (!isReused) connects += 1;
      else if (drops) {
        lost += 1;
        limit.recordReset(idle, now);
        idleSince.delete(upstream);
      }
    }
    return { lost, connects };
  };

  [1, 2, 3].forEach((seed) => {
    it(`loses few requests to upstreams that drop idle connections early, seed ${seed}`, () => {
      const { lost } = simulate(seed);
      // One request is lost at the first reset, and one each time that the limit has to fall
      // further.
      expect(lost <= 4).toEqual(true);
    });
  });
});
