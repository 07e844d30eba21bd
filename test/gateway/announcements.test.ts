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

/** Sends requests at a steady rate for `duration` milliseconds; resolves when all have ended. */
const load = async (
  harness: GatewayHarness,
  path: string,
  duration: number,
): Promise<readonly number[]> => {
  const statuses: Promise<number>[] = [];
  const until = Date.now() + duration;
  for (let i = 0; Date.now() < until; i++) {
    statuses.push(harness.request(`${path}-${i}`, path).then(({ status }) => status));
    await sleep(REQUEST_GAP_MS);
  }
  return Promise.all(statuses);
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
    await load(harness, '/w/', 1000);
    limited.announces = [`Server-Limit: ${LIMIT_PER_SECOND}`];
    const announcedAt = Date.now();
    const statuses = await load(harness, '/w/', LIMIT_BINDS_AFTER_MS + 2 * WINDOW_MS);
    limited.announces = [];
    expect(harness.count('limit-announced') > 0).toEqual(true);
    const most = mostInWindow(limited, announcedAt + LIMIT_BINDS_AFTER_MS);
    expect({ most, keeps: most <= MAX_IN_WINDOW }).toEqual({ most, keeps: true });
    expect(statuses.every((status) => status === 200)).toEqual(true);
  });
});
