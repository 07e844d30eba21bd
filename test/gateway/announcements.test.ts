import { expect } from 'earl';
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformUpstream } from '../../standins/platform';

import { GatewayHarness, routeOf } from './harness';

/** Time in milliseconds after the announcement from which the limit has to hold. */
const LIMIT_BINDS_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const LIMIT_PER_SECOND = 1.4;
/** Most requests in a window: one and a half times what the limit allows, and 5. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * (WINDOW_MS / 1000) + 5;
const REQUEST_GAP_MS = 25;
/** Number of requests after which an upstream counts as known. */
const WARM_UP_COUNT = 3;
const PAUSE_MS = 2500;
/** Time after a 503 from which the pause has to hold, and most requests in the rest of it. */
const PAUSE_GRACE_MS = 500;
const MAX_IN_PAUSE_COUNT = 2;
/** Time within which an upstream that leaves must stop getting new requests. */
const DRAIN_BOUND_MS = 2000;

/** Sends requests at a steady rate until `isDone`; resolves when all have ended. */
const loadUntil = async (
  harness: GatewayHarness,
  path: string,
  isDone: () => boolean,
): Promise<readonly number[]> => {
  const statuses: Promise<number>[] = [];
  for (let i = 0; !isDone(); i++) {
    statuses.push(harness.request(`${path}-${i}`, path).then(({ status }) => status));
    await sleep(REQUEST_GAP_MS);
  }
  return Promise.all(statuses);
};

/** Sends requests at a steady rate for `duration` milliseconds; resolves when all have ended. */
const load = (
  harness: GatewayHarness,
  path: string,
  duration: number,
): Promise<readonly number[]> => {
  const until = Date.now() + duration;
  return loadUntil(harness, path, () => Date.now() >= until);
};

/** Returns the most requests that an upstream ran in a window that starts at `from` or later. */
const mostInWindow = ({ runs }: PlatformUpstream, from: number): number => {
  const times = runs.map(({ at }) => at).filter((at) => at >= from);
  return Math.max(
    0,
    ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length),
  );
};

describe('a gateway and what upstreams announce', () => {
  let harness: GatewayHarness;
  before(async () => {
    harness = await GatewayHarness.start(3, [routeOf('/read/', 'safe'), routeOf('/w/', 'unsafe')]);
  });
  after(() => harness.close());

  it('keeps an upstream to the rate limit that it announces', async () => {
    const [limited] = harness.upstreams;
    if (!limited) throw new Error('no upstream');
    // Requests that may be repeated make all upstreams known as good, so that the load uses each.
    await loadUntil(harness, '/read/', () =>
      harness.upstreams.every(({ runs }) => runs.length >= WARM_UP_COUNT),
    );
    limited.announces = [`Server-Limit: ${LIMIT_PER_SECOND}`];
    const announcedAt = Date.now();
    const statuses = await load(harness, '/w/', LIMIT_BINDS_AFTER_MS + 2 * WINDOW_MS);
    limited.announces = [];
    expect(harness.count('limit-announced') > 0).toEqual(true);
    const most = mostInWindow(limited, announcedAt + LIMIT_BINDS_AFTER_MS);
    expect({ most, keeps: most <= MAX_IN_WINDOW }).toEqual({ most, keeps: true });
    expect(statuses.every((status) => status === 200)).toEqual(true);
  });

  it('sends nothing to an upstream for the time after a 503 that it asks for', async () => {
    const paused = harness.upstreams[1];
    if (!paused) throw new Error('no upstream');
    await load(harness, '/read/', 500);
    paused.mood = 'sheds';
    paused.announces = [`Retry-After: ${PAUSE_MS / 1000}`];
    const known = paused.received.length;
    const pausedAt = (): number => paused.received[known]?.at ?? Number.POSITIVE_INFINITY;
    // How soon it is used again is checked in virtual time, in core/placement/pause.test.ts.
    const isUsedAgain = (): boolean =>
      paused.received.slice(known + 1).some(({ at }) => at >= pausedAt() + PAUSE_MS);
    const loaded = loadUntil(harness, '/read/', isUsedAgain);
    await harness.until(() => paused.received.length > known);
    paused.mood = 'well';
    paused.announces = [];
    const statuses = await loaded;
    const late = paused.received.filter(
      ({ at }) => at >= pausedAt() + PAUSE_GRACE_MS && at < pausedAt() + PAUSE_MS,
    );
    expect(late.length <= MAX_IN_PAUSE_COUNT).toEqual(true);
    expect(isUsedAgain()).toEqual(true);
    expect(statuses.every((status) => status === 200)).toEqual(true);
  });

  it('refuses at once, with the end of the earliest pause, when all upstreams pause', async () => {
    harness.upstreams.forEach((upstream, i) =>
      Object.assign(upstream, { mood: 'sheds', announces: [`Retry-After: ${2 + i}`] }),
    );
    await load(harness, '/read/', 200);
    const startedAt = Date.now();
    const refused = await harness.request('all-paused', '/read/');
    harness.upstreams.forEach((upstream) =>
      Object.assign(upstream, { mood: 'well', announces: [] }),
    );
    expect(refused.status).toEqual(503);
    expect(Number(refused.headers['retry-after']) > 1).toEqual(true);
    expect(Date.now() - startedAt < 1000).toEqual(true);
  });

  it('sends nothing more to an upstream that says it leaves, though it is registered', async () => {
    const leaving = harness.upstreams[2];
    if (!leaving) throw new Error('no upstream');
    // Earlier pauses end within this time.
    await load(harness, '/read/', 4500);
    leaving.announces = ['Server-Leaving: 1'];
    const known = leaving.received.length;
    const loaded = load(harness, '/read/', 3500);
    await harness.until(() => leaving.received.length > known);
    const announcedAt = Date.now();
    harness.register(leaving, { sequence: 2 });
    await loaded;
    const late = leaving.received.filter(({ at }) => at > announcedAt + DRAIN_BOUND_MS);
    expect(late.length).toEqual(0);
    leaving.announces = [];
    harness.register(leaving, { sequence: 1, born: 2 });
    await harness.until(() => harness.count('upstream-reborn') === 1);
    const count = leaving.received.length;
    await load(harness, '/read/', 1500);
    expect(leaving.received.length > count).toEqual(true);
  });
});
