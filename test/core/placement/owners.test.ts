import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { LoadBalancer, type EvidenceKind } from '../../../src/core/placement';
import type { GatewayUpstream } from '../../../src/model';

/** Number of slots of each upstream. */
const SLOT_COUNT = 6;
/** Mean time in milliseconds that a request holds a slot. */
const MEAN_LATENCY_MS = 460;
const DATA_CENTRES = ['a', 'b', 'c'];

/** A simulated upstream that runs `SLOT_COUNT` requests at once and queues the rest. */
interface Server {
  running: number;
  readonly waiting: (() => void)[];
  isFaulty: boolean;
  /** Time in milliseconds at which the upstream next becomes faulty or healthy at random. */
  stateUntil: number;
}

/** The size of a simulated fleet and its load. */
interface Load {
  readonly upstreams: number;
  readonly requestsPerSecond: number;
  /** Number of owners in each data centre. */
  readonly owners: number;
}

/** One request in four of a load may be retried, or none may. */
type Mix = 'some retryable' | 'none retryable';

const RETRYABLE_INTERVAL_COUNT = 4;

/** Result of a simulation; the ratios are of all requests. */
interface SimulationResult {
  /** Ratio of requests that found all slots of their upstream taken. */
  readonly waitedRatio: number;
  readonly failedRatio: number;
  /**
   * Ratio of 2 s windows in which some, but less than 0.7, of a random half of the healthy
   * upstreams got a request.
   */
  readonly underFloorRatio: number;
}

/**
 * Guards against owners that choose the same upstream at the same time and overload it. Load
 * pattern: the owners of one service in three data centres send requests to the same upstreams. Each is told at once how the others' attempts ended, but knows of their requests in
 * flight only what upstreams report with an answer. Three in ten upstreams are faulty.
 */
const simulate = (
  seed: number,
  { upstreams, requestsPerSecond, owners: ownersEach }: Load,
  mix: Mix,
): SimulationResult => {
  const rng = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(rng);
  const balancers = DATA_CENTRES.flatMap((dataCentre) =>
    Array.from(
      { length: ownersEach },
      () => new LoadBalancer('shop', dataCentre, () => 0.85, draw),
    ),
  );
  const servers = new Map<string, Server>();
  for (let i = 0; i < upstreams; i++) {
    const id = `u${i}`;
    const upstream: GatewayUpstream = {
      id,
      service: 'shop',
      endpoint: { address: '10.0.0.1', port: 80 },
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length] ?? '',
      slots: SLOT_COUNT,
      state: 'ready',
      born: 1,
      reportSequence: 1,
      warmedUpAt: 0,
    };
    balancers.forEach((balancer) => balancer.put(upstream, 0));
    servers.set(id, { running: 0, waiting: [], isFaulty: draw() < 0.3, stateUntil: draw() * 9000 });
  }
  const time = { now: 0 };
  let events: { readonly at: number; readonly act: (now: number) => void }[] = [];
  let waited = 0;
  let underFloor = 0;
  const sentAt = new Map<string, number>();
  const failedAt = new Map<string, number>();
  let failed = 0;
  const total = requestsPerSecond * 20;
  const placeAt = (now: number, n: number): void => {
    const at = Math.floor(draw() * balancers.length);
    const balancer = balancers[at];
    const placed = balancer?.place(
      {
        retryable: mix === 'some retryable' && n % RETRYABLE_INTERVAL_COUNT === 0,
        meanBytes: 5000,
        meanLatency: MEAN_LATENCY_MS,
        objective: 2000,
        remaining: 5000,
        lastResort: false,
        tried: new Set(),
      },
      true,
      now,
    );
    if (!balancer || placed?.kind !== 'send')
      throw new Error('expected a chosen upstream, got none');
    const { stats } = placed;
    const { id } = stats.upstream;
    const server = servers.get(id);
    if (!server) throw new Error('expected a simulated upstream of the chosen id, got none');
    sentAt.set(id, now);
    stats.attemptStarted(`r${n}`, now, now + 5000);
    const end = (ended: number, evidence: EvidenceKind): void => {
      stats.attemptEnded(`r${n}`);
      stats.recordReportedLoad(server.running, server.waiting.length, ended);
      stats.applyEvidence(evidence, ended);
      balancers
        .filter((other) => other !== balancer)
        .forEach((o) => o.applyObservation({ id, born: 1, evidence, sentAgo: ended - now }, ended));
    };
    if (server.isFaulty && draw() < 0.75) {
      failed += 1;
      failedAt.set(id, now);
      events.push({ at: now + 3, act: (ended) => end(ended, 'failed-early') });
      return;
    }
    const run = (started: number): void => {
      server.running += 1;
      events.push({
        at: started + MEAN_LATENCY_MS * (0.3 + 1.4 * draw()),
        act: (ended) => {
          server.running -= 1;
          server.waiting.shift()?.();
          end(ended, 'good');
        },
      });
    };
    if (server.running < SLOT_COUNT) run(now);
    else {
      waited += 1;
      server.waiting.push(() => run(time.now));
    }
  };
  const advance = (until: number): void => {
    for (;;) {
      events.sort((x, y) => x.at - y.at);
      const next = events[0];
      if (!next || next.at > until) break;
      events = events.slice(1);
      time.now = next.at;
      next.act(next.at);
    }
    time.now = until;
  };
  for (let n = 0; n < total; n++) {
    advance((n * 1000) / requestsPerSecond);
    servers.forEach((server) => {
      if (time.now < server.stateUntil) return;
      const stateUntil = time.now + 6000 + draw() * 6000;
      Object.assign(server, { isFaulty: draw() < 0.3, stateUntil });
    });
    placeAt(time.now, n);
    const isRecent = (times: ReadonlyMap<string, number>, id: string): boolean =>
      time.now - (times.get(id) ?? Number.NEGATIVE_INFINITY) < 2000;
    const healthy = [...servers.keys()].filter((id) => draw() < 0.5 && !isRecent(failedAt, id));
    const used = healthy.filter((id) => isRecent(sentAt, id));
    if (time.now > 4000 && used.length > 0 && used.length < 0.7 * healthy.length) underFloor += 1;
  }
  return {
    waitedRatio: waited / total,
    failedRatio: failed / total,
    underFloorRatio: underFloor / total,
  };
};

const MIXES: readonly Mix[] = ['some retryable', 'none retryable'];

describe('owners that send requests to the same upstreams', () => {
  const loads: readonly Load[] = [
    { upstreams: 18, requestsPerSecond: 72, owners: 2 },
    { upstreams: 108, requestsPerSecond: 305, owners: 2 },
    { upstreams: 108, requestsPerSecond: 305, owners: 6 },
  ];
  loads.forEach((load) => {
    MIXES.forEach((mix) =>
      [1, 2, 3].forEach((seed) => {
        const size = `${load.upstreams} upstreams, ${load.owners} owners each`;
        it(`rarely choose a full one, and keep most healthy ones in use, ${size}, ${mix}, seed ${seed}`, () => {
          const { waitedRatio, failedRatio, underFloorRatio } = simulate(seed, load, mix);
          // Two thirds of the slots are free; without evidence more than 20% of requests would fail.
          expect(waitedRatio <= 0.2).toEqual(true);
          expect(failedRatio <= 0.05).toEqual(true);
          expect(underFloorRatio <= 0.05).toEqual(true);
        });
      }),
    );
  });
});
