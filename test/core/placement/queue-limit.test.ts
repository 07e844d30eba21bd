import { expect } from 'earl';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { LoadBalancer, QueueLimit, type PlacementRequest } from '../../../src/core/placement';

const request: PlacementRequest = {
  retryable: false,
  meanBytes: 1000,
  meanLatency: 100,
  objective: 5000,
  remaining: 20_000,
  lastResort: false,
  tried: new Set(),
};

const refuse = (limit: QueueLimit, level: number, now: number): void =>
  limit.record({ level, refused: true }, now);
const accept = (limit: QueueLimit, level: number, now: number): void =>
  limit.record({ level, refused: false }, now);

/** Evidence that the upstream usually accepts requests. */
const acceptMany = (limit: QueueLimit, now: number): void => {
  for (let i = 0; i < 30; i++) accept(limit, i % 3, now);
};

interface Behaviour {
  /** Number of requests that the upstream queues before it rejects work. */
  readonly queued: number;
  /** Ratio of requests that it rejects at the time whatever its load. */
  readonly rejectedRatio: (now: number) => number;
  readonly reportsLoad: boolean;
}

interface Result {
  readonly refusedRatio: number;
  readonly limits: readonly number[];
}

/** Runs more requests than four upstreams with 2 slots can serve, from one gateway. */
const simulate = (seed: number, duration: number, behaviour: Behaviour): Result => {
  const rng = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(rng);
  const balancer = new LoadBalancer('shop', 'a', () => 0, draw);
  const servers = new Map<string, { running: number; readonly waiting: (() => void)[] }>();
  ['u1', 'u2', 'u3', 'u4'].forEach((id) => {
    balancer.put(
      {
        id,
        service: 'shop',
        endpoint: { address: '10.0.0.1', port: 80 },
        dataCentre: 'a',
        slots: 2,
        state: 'ready',
        born: 1,
        reportSequence: 1,
        warmedUpAt: 0,
      },
      0,
    );
    servers.set(id, { running: 0, waiting: [] });
  });
  const time = { now: 0 };
  let events: { readonly at: number; readonly act: () => void }[] = [];
  let sent = 0;
  let refusals = 0;
  const send = (id: string): void => {
    const placed = balancer.place(request, false, time.now);
    if (placed.kind !== 'send') return;
    const { stats } = placed;
    const server = servers.get(stats.upstream.id);
    if (!server) throw new Error('expected a simulated upstream of the chosen id, got none');
    sent += 1;
    stats.attemptStarted(id, time.now, time.now + 5000, request);
    const load = () =>
      behaviour.reportsLoad
        ? { running: server.running, waiting: server.waiting.length }
        : undefined;
    if (server.waiting.length >= behaviour.queued || draw() < behaviour.rejectedRatio(time.now)) {
      refusals += 1;
      stats.recordTaken(id, true, load(), time.now);
      stats.attemptEnded(id);
      stats.applyVerdict({ kind: 'busy' }, time.now);
      return;
    }
    const run = (): void => {
      server.running += 1;
      const act = (): void => {
        server.running -= 1;
        server.waiting.shift()?.();
        stats.recordTaken(id, false, load(), time.now);
        stats.attemptEnded(id);
        stats.applyEvidence('good', time.now);
      };
      events.push({ at: time.now + 50 + 100 * draw(), act });
    };
    if (server.running < 2) run();
    else server.waiting.push(run);
  };
  for (let n = 0; n < duration / 5; n++) {
    events.sort((a, b) => a.at - b.at);
    while (events[0] && events[0].at <= n * 5) {
      time.now = events[0].at;
      const { act } = events[0];
      events = events.slice(1);
      act();
      events.sort((a, b) => a.at - b.at);
    }
    time.now = n * 5;
    send(`r${n}`);
  }
  return {
    refusedRatio: refusals / sent,
    limits: balancer.all().map(({ queueLimit }) => queueLimit.limit(time.now)),
  };
};

const never = (): number => 0;

/** Guards against requests sent to upstreams that must reject them, which costs retries. */
describe('the queue limit of upstreams that reject beyond 8 queued', () => {
  [true, false].forEach((reportsLoad) => {
    [1, 2, 3].forEach((seed) => {
      it(`is learned, ${reportsLoad ? 'with' : 'without'} load headers, seed ${seed}`, () => {
        const result = simulate(seed, 30_000, { queued: 8, rejectedRatio: never, reportsLoad });
        expect(result.limits.every((limit) => limit === 8 || limit === 9)).toEqual(true);
        expect(result.refusedRatio < 0.02).toEqual(true);
      });
    });
  });
});

/** Guards against a limit that collapses, which would leave capacity unused. */
describe('the queue limit of upstreams that reject half of all requests for 4 s', () => {
  const inEpisode = (now: number): number => (now >= 5000 && now < 9000 ? 0.5 : 0);
  [true, false].forEach((reportsLoad) => {
    [1, 2, 3].forEach((seed) => {
      it(`stays, ${reportsLoad ? 'with' : 'without'} load headers, seed ${seed}`, () => {
        const during = simulate(seed, 8900, { queued: 99, rejectedRatio: inEpisode, reportsLoad });
        expect(Math.min(...during.limits) >= 9).toEqual(true);
        const after = simulate(seed, 20_000, { queued: 99, rejectedRatio: inEpisode, reportsLoad });
        expect(after.limits).toEqual([10, 10, 10, 10]);
      });
    });
  });
});

describe('a queue limit', () => {
  it('needs more than one refusal to fall, and never exceeds the upper limit', () => {
    const limit = new QueueLimit();
    accept(limit, 5, 0);
    accept(limit, 40, 0);
    expect(limit.limit(0)).toEqual(10);
    const other = new QueueLimit();
    acceptMany(other, 0);
    refuse(other, 8, 0);
    expect(other.limit(0)).toEqual(10);
    refuse(other, 8, 100);
    expect(other.limit(100)).toEqual(7);
  });

  it('is probed slowly upward and forgets', () => {
    const limit = new QueueLimit();
    acceptMany(limit, 0);
    for (let i = 0; i < 6; i++) refuse(limit, 8, i);
    expect(limit.limit(100)).toEqual(7);
    expect(limit.limit(14_000)).toEqual(7);
    expect(limit.limit(16_000)).toEqual(8);
    refuse(limit, 8, 16_000);
    expect(limit.limit(16_100)).toEqual(7);
    for (let i = 0; i < 3; i++) accept(limit, 8, 32_000 + i);
    expect(limit.limit(32_100) >= 8).toEqual(true);
    expect(limit.limit(300_000)).toEqual(10);
  });

  it('starts from the service’s and departs from it by its own evidence', () => {
    const service = new QueueLimit();
    const strict = new QueueLimit(service);
    acceptMany(strict, 0);
    for (let i = 0; i < 3; i++) refuse(strict, 5, i);
    const fresh = new QueueLimit(service);
    expect(fresh.limit(10)).toEqual(4);
    for (let i = 0; i < 3; i++) accept(fresh, 6, 20);
    expect(fresh.limit(30) >= 6).toEqual(true);
    expect(strict.limit(30)).toEqual(4);
  });

  it('ignores refusals at an upstream with a free slot', () => {
    const limit = new QueueLimit();
    for (let i = 0; i < 50; i++) refuse(limit, -1, i);
    expect(limit.limit(100)).toEqual(10);
  });

  it('doesn’t fall where all requests are refused, as the queue is then not the reason', () => {
    const limit = new QueueLimit();
    for (let i = 0; i < 30; i++) refuse(limit, i % 11, i);
    expect(limit.limit(100)).toEqual(10);
  });
});
