import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  INITIAL_FAULT_RATES,
  LearnedFaultRates,
  LoadBalancer,
  UpstreamStats,
  type EvidenceKind,
} from '../../../src/core/placement';
import type { GatewayUpstream } from '../../../src/model';

const UPSTREAM_COUNT = 20;
const REQUESTS_PER_SECOND = 80;
const DURATION_MS = 90_000;
/** Part of a faulty upstream's requests that fail. */
const FAULTY_FAILURE_RATE = 0.85;
/** One request in so many may be repeated. */
const RETRYABLE_INTERVAL_COUNT = 4;

const upstream = (id: string): GatewayUpstream => ({
  id,
  service: 'shop',
  endpoint: { address: '10.0.0.1', port: 80 },
  dataCentre: 'accra',
  slots: 6,
  state: 'ready',
  born: 1,
  reportSequence: 1,
  warmedUpAt: 0,
});

/** How often and for how long upstreams are faulty. */
interface Rhythm {
  readonly share: number;
  /** Mean time between two draws of an upstream's state. */
  readonly every: number;
}

/** Returns the ratio of requests that fail, and that ratio of a random choice. */
const simulate = (
  seed: number,
  { share, every }: Rhythm,
): { readonly failedRatio: number; readonly randomRatio: number } => {
  const rng = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(rng);
  const balancer = new LoadBalancer('shop', 'accra', () => 0.85, draw);
  const states = Array.from({ length: UPSTREAM_COUNT }, (_, i) => {
    balancer.put(upstream(`u${i}`), 0);
    return { id: `u${i}`, isFaulty: draw() < share, until: draw() * every };
  });
  const byId = new Map(states.map((state) => [state.id, state]));
  let ends: { readonly at: number; readonly act: () => void }[] = [];
  let failed = 0;
  const total = (REQUESTS_PER_SECOND * DURATION_MS) / 1000;
  for (let i = 0; i < total; i++) {
    const now = (i * 1000) / REQUESTS_PER_SECOND;
    ends.filter(({ at }) => at <= now).forEach(({ act }) => act());
    ends = ends.filter(({ at }) => at > now);
    states.forEach((state) => {
      if (now < state.until) return;
      const until = now - every * Math.log(1 - draw());
      Object.assign(state, { isFaulty: draw() < share, until });
    });
    const placed = balancer.place(
      {
        retryable: i % RETRYABLE_INTERVAL_COUNT === 0,
        meanBytes: 1000,
        meanLatency: 250,
        objective: 800,
        remaining: 2000,
        lastResort: true,
        tried: new Set(),
      },
      true,
      now,
    );
    if (placed.kind !== 'send') throw new Error(`no upstream at ${now} ms: ${placed.kind}`);
    const { stats } = placed;
    stats.attemptStarted(`r${i}`, now, now + 2000);
    const fails = byId.get(stats.upstream.id)?.isFaulty === true && draw() < FAULTY_FAILURE_RATE;
    if (fails) failed += 1;
    const endsAt = now + (fails ? 3 : 100 + 300 * draw());
    ends.push({
      at: endsAt,
      act: () => {
        stats.attemptEnded(`r${i}`);
        stats.applyEvidence(fails ? 'failed-early' : 'good', endsAt);
      },
    });
  }
  return { failedRatio: failed / total, randomRatio: share * FAULTY_FAILURE_RATE };
};

/** Applies evidence to upstreams that are each asked at even intervals, and returns the rates. */
const learn = (seed: number, { share, every }: Rhythm): LearnedFaultRates => {
  const rng = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(rng);
  const rates = new LearnedFaultRates();
  const upstreams = Array.from({ length: UPSTREAM_COUNT }, (_, i) => ({
    stats: new UpstreamStats(upstream(`u${i}`), undefined, undefined, undefined, rates),
    isFaulty: draw() < share,
    until: 0,
  }));
  for (let now = 0; now < 4 * DURATION_MS; now += 500) {
    upstreams.forEach((each) => {
      if (now >= each.until) {
        const until = now - every * Math.log(1 - draw());
        Object.assign(each, { isFaulty: draw() < share, until });
      }
      const fails = each.isFaulty && draw() < FAULTY_FAILURE_RATE;
      const evidence: EvidenceKind = fails ? 'failed-early' : 'good';
      each.stats.applyEvidence(evidence, now);
    });
  }
  return rates;
};

/**
 * Guards against rates that hold for one deployment only. Load pattern: a tenth, a third or half of
 * the upstreams are faulty, for seconds or for half a minute.
 */
describe('the learned fault rates', () => {
  const rhythms: readonly Rhythm[] = [0.1, 1 / 3, 0.5].flatMap((share) =>
    [4000, 9000, 30_000].map((every) => ({ share, every })),
  );

  it('start from the initial rates', () => {
    expect(new LearnedFaultRates().current).toEqual(INITIAL_FAULT_RATES);
  });

  rhythms.forEach((rhythm) => {
    const { share, every } = rhythm;
    const what = `a share of ${share.toFixed(2)}, every ${every} ms`;

    it(`come near the true ones with ${what}`, () => {
      [1, 2, 3].forEach((seed) => {
        const { faultyShare, decayTime, faultyFailureRate } = learn(seed, rhythm).current;
        expect(Math.abs(faultyShare - share)).toBeLessThanOrEqual(0.15);
        expect(decayTime / every).toBeGreaterThanOrEqual(0.5);
        expect(decayTime / every).toBeLessThanOrEqual(2);
        expect(Math.abs(faultyFailureRate - FAULTY_FAILURE_RATE)).toBeLessThanOrEqual(0.15);
      });
    });

    it(`let at most a third of the failures of a random choice happen with ${what}`, () => {
      [1, 2, 3].forEach((seed) => {
        const { failedRatio, randomRatio } = simulate(seed, rhythm);
        expect(failedRatio).toBeLessThanOrEqual(randomRatio / 3);
      });
    });
  });
});
