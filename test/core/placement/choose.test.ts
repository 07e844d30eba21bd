import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { SendingHosts } from '../../../src/core/announcements';
import { CostModel, Slowdown } from '../../../src/core/cost';
import {
  chooseUpstream,
  failureProbability,
  faultProbabilityAt,
  updateBelief,
  LoadBalancer,
  UpstreamStats,
  PRIOR_BELIEF,
  type PlacementRequest,
  type PlacementContext,
} from '../../../src/core/placement';
import { NONE_DISABLED, type GatewayUpstream } from '../../../src/model';

const upstream = (id: string, more: Partial<GatewayUpstream> = {}): GatewayUpstream => ({
  id,
  service: 'shop',
  endpoint: { address: '10.0.0.1', port: 80 },
  dataCentre: 'a',
  slots: 2,
  state: 'ready',
  born: 1,
  reportSequence: 1,
  warmedUpAt: 0,
  ...more,
});

const stats = (id: string, more: Partial<GatewayUpstream> = {}): UpstreamStats =>
  new UpstreamStats(upstream(id, more), undefined);

const request = (more: Partial<PlacementRequest> = {}): PlacementRequest => ({
  retryable: false,
  meanBytes: 1000,
  meanLatency: 200,
  objective: 600,
  remaining: 3000,
  lastResort: false,
  tried: new Set(),
  ...more,
});

const context = (now: number, more: Partial<PlacementContext> = {}): PlacementContext => ({
  now,
  dataCentre: 'a',
  isOwner: true,
  random: () => 0,
  minCoverageRatio: 0,
  disabled: NONE_DISABLED,
  sendingHosts: new SendingHosts(['a'], 'a', 0),
  costs: {
    usual: new CostModel().serviceEstimate(),
    usualRemaining: 150,
    slowdown: new Slowdown(),
  },
  ...more,
});

/** Returns the statistics of an upstream that answered successfully every 100 ms until `now`. */
const proven = (id: string, now: number, more: Partial<GatewayUpstream> = {}): UpstreamStats => {
  const created = stats(id, more);
  for (let i = 10; i > 0; i--) created.applyEvidence('good', now - i * 100);
  created.lastSentAt = now;
  return created;
};

/** Returns the statistics of an upstream whose last three requests before `now` failed early. */
const faulty = (id: string, now: number): UpstreamStats => {
  const created = stats(id);
  for (let i = 3; i > 0; i--) created.applyEvidence('failed-early', now - i * 100);
  created.lastSentAt = now;
  return created;
};

describe('the fault belief of an upstream', () => {
  it('rises strongly with an early failure and slightly with a late one', () => {
    const known = updateBelief(updateBelief(PRIOR_BELIEF, 'good', 0), 'good', 100);
    const early = updateBelief(known, 'failed-early', 200);
    const late = updateBelief(known, 'failed-late', 200);
    expect(early.faultProbability > 0.5).toEqual(true);
    expect(late.faultProbability < 0.3).toEqual(true);
    expect(late.faultProbability > faultProbabilityAt(known, 200)).toEqual(true);
  });

  it('decays toward the prior fault probability', () => {
    const bad = updateBelief(updateBelief(PRIOR_BELIEF, 'failed-early', 0), 'failed-early', 10);
    expect(faultProbabilityAt(bad, 20) > 0.95).toEqual(true);
    expect(Math.abs(faultProbabilityAt(bad, 100_000) - 0.3) < 0.01).toEqual(true);
  });
});

describe('placement', () => {
  it('prefers a proven upstream to an unknown and a faulty one', () => {
    const candidates = [faulty('x', 1000), stats('u'), proven('p', 1000)];
    const placed = chooseUpstream(candidates, request(), context(1000));
    expect(placed.kind === 'send' && placed.stats.upstream.id).toEqual('p');
  });

  it('prefers its own data centre for large answers unless the upstream there is faulty', () => {
    const near = proven('near', 1000);
    const far = proven('far', 1000, { dataCentre: 'b' });
    const large = request({ meanBytes: 90_000, retryable: false });
    const first = chooseUpstream([far, near], large, context(1000));
    expect(first.kind === 'send' && first.stats.upstream.id).toEqual('near');
    near.applyEvidence('failed-early', 1000);
    near.applyEvidence('failed-early', 1000);
    const second = chooseUpstream([far, near], large, context(1000));
    expect(second.kind === 'send' && second.stats.upstream.id).toEqual('far');
  });

  it('waits for a full proven upstream instead of using a faulty one', () => {
    const full = proven('p', 1000);
    Array.from({ length: 14 }, (_, i) => full.attemptStarted(`r${i}`, 1000, 5000));
    expect(chooseUpstream([full, faulty('x', 1000)], request(), context(1000)).kind).toEqual(
      'full',
    );
  });

  it('uses a faulty upstream if no better one is known', () => {
    expect(
      chooseUpstream([faulty('x', 1000)], request({ lastResort: true }), context(1000)).kind,
    ).toEqual('send');
    expect(chooseUpstream([faulty('x', 1000)], request(), context(1000)).kind).toEqual('send');
  });

  it('distinguishes full upstreams from no usable upstream', () => {
    const busy = proven('p', 1000);
    busy.applyVerdict({ kind: 'busy' }, 1000);
    expect(chooseUpstream([busy], request(), context(1000)).kind).toEqual('full');
    expect(
      chooseUpstream([stats('d', { state: 'draining' })], request(), context(1000)).kind,
    ).toEqual('none');
    expect(chooseUpstream([], request(), context(1000)).kind).toEqual('none');
    expect(chooseUpstream([busy], request({ tried: new Set(['p']) }), context(1000)).kind).toEqual(
      'none',
    );
  });

  it('sends an owner’s request to a newcomer once that is warm', () => {
    const fresh = new UpstreamStats(upstream('n', { warmedUpAt: 2000 }), 0);
    const candidates = [proven('p', 3000), fresh];
    const why = (now: number, isOwner: boolean): string => {
      const placed = chooseUpstream(candidates, request(), context(now, { isOwner }));
      return placed.kind === 'send' ? placed.why : placed.kind;
    };
    expect(why(1500, true)).toEqual('proven');
    expect(why(3000, false)).toEqual('proven');
    expect(why(3000, true)).toEqual('newcomer');
  });

  it('covers the unused upstream least likely to be faulty while too few are in use', () => {
    const unused = [stats('u1'), stats('u2'), stats('u3')];
    unused[1]?.applyEvidence('good', 900);
    const placed = chooseUpstream(
      [proven('p', 1000), ...unused],
      request(),
      context(1000, { minCoverageRatio: 0.76 }),
    );
    expect(placed.kind === 'send' && [placed.why, placed.stats.upstream.id]).toEqual([
      'cover',
      'u2',
    ]);
    const used = unused.map(({ upstream: { id } }) => proven(id, 1000));
    const other = chooseUpstream(
      [proven('p', 1000), ...used],
      request(),
      context(1000, { minCoverageRatio: 0.76 }),
    );
    expect(other.kind === 'send' && other.why).toEqual('proven');
  });

  it('covers with requests that can not be repeated later, if others are there to cover', () => {
    const whyAfter = (usedCount: number, retryable: boolean, hasRetryable: boolean): string => {
      const balancer = new LoadBalancer(
        'shop',
        'a',
        () => 0.85,
        () => 0,
      );
      for (let i = 0; i < 10; i++) balancer.put(upstream(`u${i}`), 0);
      balancer.all().forEach((each, i) => {
        each.applyEvidence('good', 4900);
        Object.assign(each, { lastSentAt: i < usedCount ? 4900 : 3000 });
      });
      const place = (more: Partial<PlacementRequest>): string => {
        const placed = balancer.place(request(more), true, 5000);
        return placed.kind === 'send' ? placed.why : placed.kind;
      };
      for (let i = 0; i < 4; i++) place({ retryable: hasRetryable });
      return place({ retryable });
    };
    expect(whyAfter(8, true, true)).toEqual('cover');
    expect(whyAfter(8, false, true)).toEqual('proven');
    expect(whyAfter(7, false, true)).toEqual('cover');
    expect(whyAfter(8, false, false)).toEqual('cover');
  });

  it('chooses randomly between upstreams of equal cost', () => {
    const candidates = [stats('a'), stats('b')];
    const draws = [0.9, 0.1];
    const placed = chooseUpstream(
      candidates,
      request(),
      context(0, { random: () => draws.shift() ?? 0 }),
    );
    expect(placed.kind === 'send' && placed.stats.upstream.id).toEqual('b');
  });
});

/**
 * Guards against requests that go to faulty upstreams although evidence was available, and against
 * upstreams left without requests. Load pattern: 70 requests per second at 18 upstreams. About every 9 s each upstream becomes faulty with probability 0.3, healthy otherwise;
 * a faulty one fails 75% of its requests.
 */
describe('placement while three in ten upstreams are faulty', () => {
  interface SimulationResult {
    /** Ratio of requests that failed. */
    readonly failedRatio: number;
    /** Lowest ratio of healthy upstreams that got a request in any 2 s. */
    readonly minCoveredRatio: number;
    /**
     * Ratio of 2 s windows in which some, but less than 0.7, of the healthy ones in a random half
     * of the upstreams got a request.
     */
    readonly underFloorRatio: number;
  }

  /** One request in four may be retried, or none may. */
  type Mix = 'some retryable' | 'none retryable';
  const MIXES: readonly Mix[] = ['some retryable', 'none retryable'];

  const simulate = (seed: number, minCoverageRatio: number, mix: Mix): SimulationResult => {
    const rng = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(rng);
    const balancer = new LoadBalancer('shop', 'a', () => minCoverageRatio, draw);
    const faults = new Map<string, { isFaulty: boolean; until: number }>();
    for (let i = 0; i < 18; i++) {
      balancer.put(upstream(`u${i}`, { slots: 6 }), 0);
      faults.set(`u${i}`, { isFaulty: draw() < 0.3, until: draw() * 9000 });
    }
    let completions: { at: number; act: () => void }[] = [];
    let failed = 0;
    let minCoveredRatio = 1;
    let underFloor = 0;
    const total = 70 * 60;
    for (let i = 0; i < total; i++) {
      const now = (i * 1000) / 70;
      completions.filter(({ at }) => at <= now).forEach(({ act }) => act());
      completions = completions.filter(({ at }) => at > now);
      faults.forEach((state) => {
        if (now < state.until) return;
        Object.assign(state, { isFaulty: draw() < 0.3, until: now + 6000 + draw() * 6000 });
      });
      const retryable = mix === 'some retryable' && i % 4 === 0;
      const placed = balancer.place(
        request({ meanLatency: 470, objective: 2000, retryable }),
        true,
        now,
      );
      if (placed.kind !== 'send') throw new Error('expected a chosen upstream, got none');
      const { stats: chosen } = placed;
      const id = `r${i}`;
      chosen.attemptStarted(id, now, now + 5000);
      const fails = (faults.get(chosen.upstream.id)?.isFaulty ?? false) && draw() < 0.75;
      if (fails) failed += 1;
      const endsAt = now + (fails ? 3 : 200 + draw() * 540);
      completions.push({
        at: endsAt,
        act: () => {
          chosen.attemptEnded(id);
          chosen.applyEvidence(fails ? 'failed-early' : 'good', endsAt);
        },
      });
      // An upstream is healthy again 2 s after a failure; it must have been so for the last 2 s.
      const healthy = balancer.all().filter((each) => now - each.lastFailedAt >= 4000);
      const used = healthy.filter((each) => now - each.lastSentAt < 2000);
      const half = balancer.all().filter(() => draw() < 0.5);
      const healthyHalf = half.filter((each) => now - each.lastFailedAt >= 2000);
      const usedHalf = healthyHalf.filter((each) => now - each.lastSentAt < 2000);
      const isUnder = usedHalf.length > 0 && usedHalf.length < 0.7 * healthyHalf.length;
      if (now > 3000 && isUnder) underFloor += 1;
      if (now > 3000) minCoveredRatio = Math.min(minCoveredRatio, used.length / healthy.length);
    }
    return { failedRatio: failed / total, minCoveredRatio, underFloorRatio: underFloor / total };
  };

  it('decides coverage by when requests were sent, not by when this node was told of them', () => {
    const balancer = new LoadBalancer(
      'shop',
      'a',
      () => 0.85,
      () => 0,
    );
    const ids = ['u0', 'u1', 'u2', 'u3'];
    ids.forEach((id) => balancer.put(upstream(id), 0));
    const applyGood = (id: string, sentAgo: number): void => {
      balancer.applyObservation({ id, born: 1, evidence: 'good', sentAgo }, 5000);
    };
    ids.forEach((id) => applyGood(id, id === 'u2' ? 1200 : 0));
    const placeAt = (now: number): readonly string[] =>
      Array.from({ length: 5 }, () => {
        const placed = balancer.place(request({ retryable: true }), true, now);
        return placed.kind === 'send' ? `${placed.why} ${placed.stats.upstream.id}` : placed.kind;
      });
    expect(placeAt(5400).includes('cover u2')).toEqual(true);
  });

  [1, 2, 3].forEach((seed) => {
    it(`fails at most 2% of the requests, seed ${seed}`, () => {
      MIXES.forEach((mix) => expect(simulate(seed, 0, mix).failedRatio <= 0.02).toEqual(true));
    });

    MIXES.forEach((mix) =>
      it(`keeps at least 70% of the healthy upstreams in use, ${mix}, seed ${seed}`, () => {
        const { minCoveredRatio, underFloorRatio } = simulate(seed, 0.85, mix);
        expect(minCoveredRatio >= 0.7).toEqual(true);
        // If a fault hides half of the upstreams, at most 5% of the windows may be under the bound.
        expect(underFloorRatio <= 0.05).toEqual(true);
      }),
    );
  });

  it('fails more than 20% of the requests without evidence', () => {
    expect(failureProbability(PRIOR_BELIEF, 0) > 0.2).toEqual(true);
  });
});

describe('an upstream whose registration has lapsed', () => {
  const now = 10_000;

  it('is chosen only if no registered upstream has a free slot', () => {
    const lapsed = proven('lapsed', now);
    lapsed.lapse();
    const busy = stats('busy');
    const chosen = (): string => {
      const placement = chooseUpstream([lapsed, busy], request(), context(now));
      return placement.kind === 'send' ? placement.stats.upstream.id : placement.kind;
    };
    expect(chosen()).toEqual('busy');
    ['r1', 'r2'].forEach((id) => busy.attemptStarted(id, now, now + 1000));
    expect(chosen()).toEqual('lapsed');
  });

  it('is chosen like the others once it registers again', () => {
    const back = proven('back', now);
    back.lapse();
    back.register(upstream('back', { reportSequence: 2 }));
    const placement = chooseUpstream([back, stats('unknown')], request(), context(now));
    expect(placement.kind === 'send' && placement.stats.upstream.id).toEqual('back');
  });
});
