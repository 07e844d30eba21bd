import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  LoadBalancer,
  type PlacementRequest,
  type UpstreamStats,
} from '../../../src/core/placement';

const KILOBYTE = 1024;
const UPLOAD_BYTES = 60 * KILOBYTE;

const request = (more: Partial<PlacementRequest> = {}): PlacementRequest => ({
  retryable: true,
  meanBytes: UPLOAD_BYTES,
  meanLatency: 200,
  objective: 1000,
  remaining: 3000,
  lastResort: false,
  tried: new Set(),
  ...more,
});

const createBalancer = (perDataCentre: number, random: () => number): LoadBalancer => {
  const balancer = new LoadBalancer('shop', 'a', () => 0, random);
  ['a', 'b', 'c'].forEach((dataCentre) => {
    for (let i = 0; i < perDataCentre; i++)
      balancer.put(
        {
          id: `${dataCentre}${i}`,
          service: 'shop',
          endpoint: { address: '10.0.0.1', port: 80 },
          dataCentre,
          slots: 4,
          state: 'ready',
          born: 1,
          reportSequence: 1,
          warmedUpAt: 0,
        },
        0,
      );
  });
  balancer.all().forEach((stats) => {
    for (let i = 1; i <= 5; i++) stats.applyEvidence('good', i * 100);
  });
  return balancer;
};

const occupy = (stats: UpstreamStats | undefined, count: number): void => {
  for (let i = 0; i < count; i++) stats?.attemptStarted(`busy${i}`, 500, 10_000);
};

const chosenDataCentre = (balancer: LoadBalancer, more: Partial<PlacementRequest> = {}): string => {
  const placed = balancer.place(request(more), false, 600);
  return placed.kind === 'send' ? placed.stats.upstream.dataCentre : placed.kind;
};

/** Guards against uploads that cross data centres, which are paid for, without a gain. */
describe('placement of a request with a long body', () => {
  [true, false].forEach((retryable) => {
    const kind = retryable ? 'retryable' : 'non-retryable';

    it(`prefers a busier upstream of the own data centre with a free slot, ${kind}`, () => {
      const balancer = createBalancer(1, () => 0);
      occupy(balancer.all()[0], 3);
      expect(chosenDataCentre(balancer, { retryable })).toEqual('a');
      expect(chosenDataCentre(balancer, { retryable, meanBytes: KILOBYTE })).toEqual('b');
    });

    it(`never queues in the own data centre while another has a free slot, ${kind}`, () => {
      const balancer = createBalancer(1, () => 0);
      occupy(balancer.all()[0], 4);
      occupy(balancer.all()[1], 3);
      expect(chosenDataCentre(balancer, { retryable })).toEqual('c');
      occupy(balancer.all()[2], 3);
      expect(chosenDataCentre(balancer, { retryable })).toEqual('b');
      occupy(balancer.all()[1], 4);
      occupy(balancer.all()[2], 4);
      expect(chosenDataCentre(balancer, { retryable })).toEqual('a');
    });

    it(`never prefers a faulty upstream of the own data centre, ${kind}`, () => {
      const balancer = createBalancer(1, () => 0);
      balancer.all()[0]?.applyEvidence('failed-early', 590);
      balancer.all()[0]?.applyEvidence('failed-early', 595);
      expect(chosenDataCentre(balancer, { retryable })).toEqual('b');
    });
  });
});

/**
 * Load pattern: 60 requests a second with bodies of 60 KB at 18 upstreams in three data centres,
 * half of the slots taken.
 */
describe('uploads at half load', () => {
  const crossingRatio = (seed: number, meanBytes: number): number => {
    const rng = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(rng);
    const balancer = createBalancer(6, draw);
    let running: { readonly at: number; readonly end: () => void }[] = [];
    const total = 2000;
    let crossed = 0;
    for (let i = 0; i < total; i++) {
      const now = 1000 + (i * 1000) / 60;
      running.filter(({ at }) => at <= now).forEach(({ end }) => end());
      running = running.filter(({ at }) => at > now);
      const placed = balancer.place(request({ meanBytes }), false, now);
      if (placed.kind !== 'send') throw new Error('expected a chosen upstream, got none');
      const { stats } = placed;
      if (stats.upstream.dataCentre !== 'a') crossed += 1;
      stats.attemptStarted(`r${i}`, now, now + 5000);
      const at = now + 100 + 200 * draw();
      const end = (): void => {
        stats.attemptEnded(`r${i}`);
        stats.applyEvidence('good', at);
      };
      running.push({ at, end });
    }
    return crossed / total;
  };

  [1, 2, 3].forEach((seed) => {
    it(`stay in the own data centre, seed ${seed}`, () => {
      const before = crossingRatio(seed, 2 * KILOBYTE);
      const after = crossingRatio(seed, UPLOAD_BYTES + 2 * KILOBYTE);
      expect(after < 0.02).toEqual(true);
      expect(after < before / 10).toEqual(true);
    });
  });
});
