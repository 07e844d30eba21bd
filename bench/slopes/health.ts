import { ShardHealth } from '../../src/core';
import { defaultServiceRules } from '../../src/model';

import { retainedBytes, medianMicros, range, type Slope } from './measure';
import { upstreamAt } from './samples';

const SHARD_SIZES = [4, 8, 16, 32];
/** Copies whose memory is averaged. */
const COPY_COUNT = 50;
const BASE_LATENCY_MS = 20;
const WARM_UP_ATTEMPT_COUNT = 2000;
const SERVICE = 'bookings';
const PROBE_WINDOW_MS = 60_000;
const TICK_INTERVAL_MS = 50;

const upstreamsOf = (size: number) => range(size).map((i) => upstreamAt(i, SERVICE));

const newShardHealth = (size: number): ShardHealth =>
  ShardHealth.start(upstreamsOf(size), defaultServiceRules(SERVICE), 0);

/** Runs attempt number `index`, which succeeds, on the upstreams in turn. */
const attempt = (health: ShardHealth, size: number, index: number, now: number): void => {
  const { id } = upstreamAt(index % size, SERVICE);
  const attemptId = `attempt-${index}`;
  health.apply({ kind: 'attempt-started', upstream: id, attempt: attemptId }, now);
  const latency = BASE_LATENCY_MS + (index % 7);
  const result = { kind: 'ok', latency } as const;
  health.apply({ kind: 'attempt-ended', upstream: id, attempt: attemptId, result }, now + latency);
};

/** Returns a shard's health after enough attempts that its statistics are filled. */
const warmedShardHealth = (size: number): ShardHealth => {
  const health = newShardHealth(size);
  range(WARM_UP_ATTEMPT_COUNT).forEach((i) => attempt(health, size, i, i * 10));
  return health;
};

const attemptMicros = (size: number): number => {
  const health = warmedShardHealth(size);
  let index = WARM_UP_ATTEMPT_COUNT;
  return medianMicros(() => {
    index += 1;
    attempt(health, size, index, index * 10);
  }, 3000);
};

const tickMicros = (size: number): number => {
  const health = warmedShardHealth(size);
  let now = WARM_UP_ATTEMPT_COUNT * 10;
  return medianMicros(() => {
    now += TICK_INTERVAL_MS;
    health.apply({ kind: 'tick' }, now);
  }, 2000);
};

/**
 * Returns the probes a second while all upstreams are healthy and get ten attempts a second each.
 */
const probesPerSecond = (size: number): number => {
  const health = newShardHealth(size);
  let probes = 0;
  for (let now = 0; now < PROBE_WINDOW_MS; now += TICK_INTERVAL_MS) {
    range(Math.ceil(size / 2)).forEach((i) =>
      attempt(health, size, now / TICK_INTERVAL_MS + i * 2, now),
    );
    const { effects } = health.apply({ kind: 'tick' }, now + BASE_LATENCY_MS * 2);
    const due = effects.filter((effect) => effect.kind === 'probe');
    probes += due.length;
    due.forEach((effect) => {
      if (effect.kind !== 'probe') return;
      const result = { kind: 'ok', latency: BASE_LATENCY_MS } as const;
      const { upstream, from } = effect;
      health.apply({ kind: 'probe-answered', upstream, from, result }, now + BASE_LATENCY_MS * 2);
    });
  }
  return (probes * 1000) / PROBE_WINDOW_MS;
};

/** Measures one cost of an owner's health tracking at several shard sizes. */
const slopeOver = (what: string, unit: string, measure: (size: number) => number): Slope => ({
  role: 'prober and health',
  what,
  unit,
  per: 'upstreams of the shard',
  points: SHARD_SIZES.map((size) => [size, measure(size)]),
});

/** Measures the health tracking of one shard at its owner. */
export const healthSlopes = (): readonly Slope[] => [
  slopeOver(
    'state',
    'B',
    (size) =>
      retainedBytes(() => range(COPY_COUNT).map(() => warmedShardHealth(size))) / COPY_COUNT,
  ),
  slopeOver('one attempt', 'us', attemptMicros),
  slopeOver('one tick', 'us', tickMicros),
  slopeOver('probes while all are well', '/s', probesPerSecond),
];
