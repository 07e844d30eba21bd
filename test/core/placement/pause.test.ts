import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { LoadBalancer, type PlacementRequest } from '../../../src/core/placement';
import { NO_ANNOUNCEMENT } from '../../../src/model';

const UPSTREAM_IDS = ['a', 'b', 'c'];
const PAUSED_ID = 'b';
const PAUSED_AT = 500;
const PAUSE_MS = 2500;
const REQUEST_GAP_MS = 25;
const LATENCY_MS = 5;
/** Time after the end of a pause within which the upstream must be used again. */
const MAX_RETURN_MS = 1000;

const REQUEST: PlacementRequest = {
  retryable: true,
  meanBytes: 100,
  meanLatency: LATENCY_MS,
  objective: 1000,
  remaining: 3000,
  lastResort: false,
  tried: new Set(),
};

/** Sends requests at a steady rate; returns when the upstream that pauses got them. */
const timesAtPausedUpstream = (seed: number, until: number): readonly number[] => {
  const rng = xoroshiro128plus(seed);
  const balancer = new LoadBalancer(
    'shop',
    'accra',
    () => 0.85,
    () => uniformFloat64(rng),
  );
  UPSTREAM_IDS.forEach((id) =>
    balancer.put(
      {
        id,
        service: 'shop',
        endpoint: { address: '10.0.0.1', port: 80 },
        dataCentre: 'accra',
        slots: 6,
        state: 'ready',
        born: 1,
        reportSequence: 1,
        warmedUpAt: 0,
      },
      0,
    ),
  );
  const sentAt: number[] = [];
  let hasPaused = false;
  for (let now = 0; now < until; now += REQUEST_GAP_MS) {
    const placed = balancer.place(REQUEST, true, now);
    if (placed.kind !== 'send') throw new Error(`no upstream at ${now} ms: ${placed.kind}`);
    const { stats } = placed;
    const endsAt = now + LATENCY_MS;
    stats.attemptStarted(`r${now}`, now, now + 100);
    stats.attemptEnded(`r${now}`);
    const isPaused = stats.upstream.id === PAUSED_ID;
    if (isPaused) sentAt.push(now);
    if (!isPaused || now < PAUSED_AT || hasPaused) {
      stats.applyVerdict({ kind: 'evidence', evidence: 'good' }, endsAt);
    } else {
      hasPaused = true;
      stats.terms.apply({ ...NO_ANNOUNCEMENT, pause: PAUSE_MS }, { genuine: true }, endsAt);
      stats.applyVerdict({ kind: 'busy' }, endsAt);
    }
  }
  return sentAt;
};

describe('an upstream that asks for a pause', () => {
  for (let seed = 1; seed <= 20; seed++) {
    it(`gets nothing until its end and is used again within a second, seed ${seed}`, () => {
      const all = timesAtPausedUpstream(seed, PAUSED_AT + PAUSE_MS + 3000);
      const pausedAt = all.find((at) => at >= PAUSED_AT) ?? Number.POSITIVE_INFINITY;
      const next = all.find((at) => at > pausedAt) ?? Number.POSITIVE_INFINITY;
      const endsAt = pausedAt + LATENCY_MS + PAUSE_MS;
      expect(next).toBeGreaterThanOrEqual(endsAt);
      expect(next).toBeLessThanOrEqual(endsAt + MAX_RETURN_MS);
    });
  }
});
